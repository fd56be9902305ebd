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

    /** Closes the connections to [address] on which nothing has arrived since [nanos] (of the system's nano time). */
    fun closeSilent(address: String, nanos: Long) {
        val channels = byAddress[address] ?: return
        // Only the thread that removes a connection may close it; another one may just have taken it for a request.
        channels.filter { ReceptionTimeHandler.isSilentSince(it, nanos) && channels.remove(it) }.forEach { it.close() }
    }
}

private const val MAXIMUM_PER_ADDRESS = 16
