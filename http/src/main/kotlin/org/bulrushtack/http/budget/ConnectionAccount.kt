package org.bulrushtack.http.budget

import io.netty.channel.Channel
import java.net.InetSocketAddress

/** What a process holds for one connection, and the progress that its client makes. */
internal class ConnectionAccount(
    val budget: ResourceBudget,
    val role: PortRole,
    val channel: Channel,
    val openedNanos: Long,
) {
    private val held = LongArray(Holding.entries.size)
    private var headBytes = 0L
    private var requestNanos = openedNanos
    private var requestBytes = 0L

    /** The client's IP number. */
    val address: String = (channel.remoteAddress() as? InetSocketAddress)?.address?.hostAddress ?: "unknown"
    val writes = WriteProgress(channel)
    var owner: ConnectionOwner = ClosingOwner(channel)

    /** Whether reading is paused for lack of memory. */
    var isPaused = false
    var isClosed = false

    /** Whether a request was answered. */
    var hasServed = false
    var lastReadNanos = openedNanos
        private set

    /** When the headers that are being read began; 0 while there are none. */
    var headNanos = 0L
        private set

    /** All that is held. */
    val heldBytes: Long get() = held.sum()

    fun held(holding: Holding): Long = held[holding.ordinal]

    fun add(holding: Holding, bytes: Long) {
        held[holding.ordinal] += bytes
    }

    /** Whether [bytes] more fit; may refuse what others hold. */
    fun tryHold(holding: Holding, bytes: Long): Boolean = budget.memory.tryHold(this, holding, bytes)

    /** Counts [bytes] more, or less, that are held in any case. */
    fun hold(holding: Holding, bytes: Long) = budget.memory.hold(this, holding, bytes)

    /** Records that [bytes] arrived. */
    fun received(bytes: Int, nowNanos: Long) {
        lastReadNanos = nowNanos
        requestBytes += bytes
        headBytes += bytes
    }

    /**
     * Records whether what has arrived last [isHead], a part of headers that are not complete; returns false when it
     * doesn't fit.
     */
    fun tryHoldHead(isHead: Boolean, nowNanos: Long): Boolean {
        if (!isHead) headBytes = 0
        if (headBytes <= BLANK_LINE_BYTES) headNanos = 0 else if (headNanos == 0L) headNanos = nowNanos
        val missing = headBytes - held(Holding.PARTIAL_HEADS)
        if (missing <= 0) hold(Holding.PARTIAL_HEADS, missing)
        return missing <= 0 || tryHold(Holding.PARTIAL_HEADS, missing)
    }

    /** Records that a request begins. */
    fun requestBegins(nowNanos: Long) {
        requestNanos = nowNanos
        requestBytes = 0
    }

    /** The bytes a second that the client sends of its request, or takes of its response. */
    fun bytesPerSecond(nowNanos: Long): Long = if (writes.unsentNanos != 0L) {
        writes.bytesPerSecond(nowNanos)
    } else {
        requestBytes * NANOS_PER_SECOND / maxOf(NANOS_PER_SECOND, nowNanos - requestNanos)
    }

    private class ClosingOwner(
        private val channel: Channel,
    ) : ConnectionOwner {
        override val isArriving = false
        override val isWorking = false

        override fun refuse(isLate: Boolean) = close()

        override fun close() {
            channel.close()
        }

        override fun resume() = Unit
    }
}

/** A blank line or two may follow a request and belong to no other one. */
private const val BLANK_LINE_BYTES = 4L
private const val NANOS_PER_SECOND = 1_000_000_000L
