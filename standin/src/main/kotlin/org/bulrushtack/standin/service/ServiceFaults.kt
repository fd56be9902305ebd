package org.bulrushtack.standin.service

/**
 * The faults of a plain service that are switched on.
 *
 * @property loseAnswers how many of the next calls run and are not answered
 * @property delayMillis how much longer each call takes
 */
data class ServiceFaults(
    val loseAnswers: Int = 0,
    val delayMillis: Long = 0,
    val leaving: Boolean = false,
)
