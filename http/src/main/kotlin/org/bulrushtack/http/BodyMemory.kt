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
    private val held = AtomicLong()

    /** The bytes that are held now. */
    public val heldBytes: Long get() = held.get()

    /** Takes [bytes], or says that they don't fit. */
    public fun take(bytes: Int): Boolean {
        val fits = held.addAndGet(bytes.toLong()) <= maximumBytes
        if (!fits) held.addAndGet(-bytes.toLong())
        return fits
    }

    /** Gives [bytes] back that were taken. */
    public fun giveBack(bytes: Int) {
        held.addAndGet(-bytes.toLong())
    }
}
