package org.bulrushtack.standin.service

/**
 * The active injected faults of a plain service.
 *
 * @property loseAnswers how many of the next calls run without being answered
 * @property status the status of the answer to a call, which has run in any case
 * @property delayMillis additional duration of each call
 */
data class ServiceFaults(
    val loseAnswers: Int = 0,
    val status: Int = STATUS_CREATED,
    val delayMillis: Long = 0,
    val leaving: Boolean = false,
)

private const val STATUS_CREATED = 201
