package org.bulrushtack.core.control

/** Time that never runs backwards, in milliseconds from an arbitrary start. */
public fun interface MonotonicClock {
    /** The time now. */
    public fun nowMillis(): Long
}
