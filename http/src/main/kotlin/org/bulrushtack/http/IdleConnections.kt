package org.bulrushtack.http

import io.netty.channel.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

/** The idle connections of an [HttpClient] by address; the one that was used last is used again first. */
internal class IdleConnections {
    private val byAddress = ConcurrentHashMap<String, ConcurrentLinkedDeque<Channel>>()

    /** Returns an open connection to [address], which is no longer idle, or null if there is none. */
    fun take(address: String): Channel? =
        generateSequence { byAddress[address]?.pollFirst() }.firstOrNull { it.isActive }

    /** Keeps [channel] for another request to [address], or closes it if there are enough. */
    fun add(address: String, channel: Channel) {
        val channels = byAddress.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (channels.size < MAXIMUM_PER_ADDRESS) channels.addFirst(channel) else channel.close()
    }

    /** Closes the connections to [address] that were open at [nanoTime], a [System.nanoTime], and silent since. */
    fun closeSilent(address: String, nanoTime: Long) {
        val channels = byAddress[address] ?: return
        // Only the thread that removes a connection may close it; another one may just have taken it for a request.
        channels.filter { isSilentSince(it, nanoTime) && channels.remove(it) }.forEach { it.close() }
    }

    companion object {
        /** Whether [channel] was open at [nanoTime], a [System.nanoTime], and nothing has arrived on it since. */
        fun isSilentSince(channel: Channel, nanoTime: Long): Boolean {
            val monitor = channel.pipeline().get(ReceptionMonitor::class.java)
            return monitor != null && !monitor.hasReceivedSince(nanoTime)
        }
    }
}

private const val MAXIMUM_PER_ADDRESS = 16
