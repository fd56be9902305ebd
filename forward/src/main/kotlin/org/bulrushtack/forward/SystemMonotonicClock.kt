package org.bulrushtack.forward

import org.bulrushtack.core.control.MonotonicClock

/** The operating system's monotonic clock. */
class SystemMonotonicClock : MonotonicClock {
    private val startNanos = System.nanoTime()

    override fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
}

private const val NANOS_PER_MILLI = 1_000_000L
