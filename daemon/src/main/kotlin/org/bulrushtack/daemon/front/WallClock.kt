package org.bulrushtack.daemon.front

/** The wall-clock time in milliseconds since 1970. */
internal fun interface WallClock {
    /** The current time. */
    fun nowMillis(): Long
}
