package org.bulrushtack.daemon.control

/** Time that never runs backwards, in milliseconds from an arbitrary start. */
fun interface MonotonicClock {
    /** The time now. */
    fun nowMillis(): Long
}
