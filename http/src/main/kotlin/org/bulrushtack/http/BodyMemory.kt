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

    /** Reserves [bytes]; returns false when they don't fit. */
    public fun tryReserve(bytes: Int): Boolean {
        val fits = reserved.addAndGet(bytes.toLong()) <= maximumBytes
        if (!fits) reserved.addAndGet(-bytes.toLong())
        return fits
    }

    /** Releases [bytes] that were reserved before. */
    public fun release(bytes: Int) {
        reserved.addAndGet(-bytes.toLong())
    }
}
