package org.bulrushtack.standin.service

/**
 * The simulated behaviour of a plain service.
 *
 * @property workMillis duration of one call
 * @property coldMillis duration of the cold start
 * @property coldConcurrency how many calls it can hold while it is cold; it crashes when it holds more
 */
data class ServiceOptions(
    val workMillis: Long = 10,
    val coldMillis: Long = 1_000,
    val coldConcurrency: Int = 2,
    val reportLagMillis: Long = 500,
)
