package org.bulrushtack.standin.service

/**
 * The active injected faults of a plain service.
 *
 * @property loseAnswers how many of the next calls run without being answered
 * @property delayMillis additional duration of each call
 */
data class ServiceFaults(
    val loseAnswers: Int = 0,
    val delayMillis: Long = 0,
    val leaving: Boolean = false,
)
