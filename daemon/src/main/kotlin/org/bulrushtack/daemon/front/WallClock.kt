package org.bulrushtack.daemon.front

/** The time of day, in milliseconds since 1970. */
internal fun interface WallClock {
    /** The time now. */
    fun nowMillis(): Long
}
