package org.bulrushtack.http.budget

import io.netty.channel.Channel

/** How far the client of [channel] takes what was written for it. */
internal class WriteProgress(
    private val channel: Channel,
) {
    private var firstProgress = 0L
    private var lastTakenNanos = 0L
    private var takenBytes = 0L

    /** The bytes that waited at the last look. */
    var unsentBytes = 0L
        private set

    /** Since when bytes have been waiting without a break; 0 while none are. */
    var unsentNanos = 0L
        private set

    /** Looks at what waits to be sent now. */
    fun observe(nowNanos: Long) {
        val buffer = channel.unsafe().outboundBuffer()
        val unsent = buffer?.totalPendingWriteBytes() ?: 0
        val progress = buffer?.currentProgress() ?: 0
        if (unsent != unsentBytes || progress != firstProgress) lastTakenNanos = nowNanos
        if (unsent == 0L) unsentNanos = 0
        if (unsent > 0 && unsentNanos == 0L) {
            unsentNanos = nowNanos
            lastTakenNanos = nowNanos
            takenBytes = 0
        }
        takenBytes += maxOf(0, unsentBytes - unsent) + maxOf(0, progress - firstProgress)
        unsentBytes = unsent
        firstProgress = progress
    }

    /** How long the client has taken nothing of what waits for it. */
    fun stalledNanos(nowNanos: Long): Long = if (unsentNanos == 0L) 0 else nowNanos - lastTakenNanos

    /** The bytes a second that the client has taken since some have been waiting. */
    fun bytesPerSecond(nowNanos: Long): Long =
        takenBytes * NANOS_PER_SECOND / maxOf(NANOS_PER_SECOND, nowNanos - unsentNanos)
}

private const val NANOS_PER_SECOND = 1_000_000_000L
