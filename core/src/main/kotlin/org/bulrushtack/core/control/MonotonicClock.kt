package org.bulrushtack.core.control

/** A clock that never runs backwards, in milliseconds from an arbitrary origin. */
public fun interface MonotonicClock {
    /** The current time. */
    public fun nowMillis(): Long
}
