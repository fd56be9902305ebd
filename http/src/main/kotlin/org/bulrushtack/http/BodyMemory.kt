package org.bulrushtack.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the total size of the request bodies that a process holds at the same time.
 *
 * @property maximumBytes the limit in bytes
 */
public class BodyMemory(
    private val maximumBytes: Long = Long.MAX_VALUE,
) {
    private val reserved = AtomicLong()

    /** The bytes that are reserved now. */
    public val reservedBytes: Long get() = reserved.get()

    /** Reserves [bytes]; returns false when they don't fit beside [spareBytes] that are left to others. */
    public fun tryReserve(bytes: Int, spareBytes: Long = 0): Boolean {
        val fits = reserved.addAndGet(bytes.toLong()) <= maximumBytes - spareBytes
        if (!fits) reserved.addAndGet(-bytes.toLong())
        return fits
    }

    /** What requests with large bodies leave to others, where one body of [bodyBytes] still fits. */
    internal fun spareBytes(bodyBytes: Int): Long =
        (maximumBytes / SPARE_DIVISOR).coerceIn(0, maxOf(0, maximumBytes - bodyBytes))

    /** Releases [bytes] that were reserved before. */
    public fun release(bytes: Int) {
        reserved.addAndGet(-bytes.toLong())
    }
}

private const val SPARE_DIVISOR = 8
