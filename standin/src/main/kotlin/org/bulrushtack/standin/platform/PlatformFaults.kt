package org.bulrushtack.standin.platform

/**
 * The faults of the platform that are switched on.
 *
 * @property outage whether connections to the log are broken off without an answer
 * @property loseAnswers how many of the next appends take effect and are not answered
 * @property delayMillis how long each answer of the log is held back
 */
data class PlatformFaults(
    val outage: Boolean = false,
    val loseAnswers: Int = 0,
    val delayMillis: Long = 0,
)
