package org.bulrushtack.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the bytes of all request bodies that a process holds at the same time.
 *
 * @property maximumBytes the most bytes
 */
public class BodyMemory(
    private val maximumBytes: Long = Long.MAX_VALUE,
) {
    private val reserved = AtomicLong()

    /** The bytes that are reserved now. */
    public val reservedBytes: Long get() = reserved.get()

    /** Takes [bytes], or says that they don't fit. */
    public fun tryReserve(bytes: Int): Boolean {
        val fits = reserved.addAndGet(bytes.toLong()) <= maximumBytes
        if (!fits) reserved.addAndGet(-bytes.toLong())
        return fits
    }

    /** Gives [bytes] back that were taken. */
    public fun release(bytes: Int) {
        reserved.addAndGet(-bytes.toLong())
    }
}
