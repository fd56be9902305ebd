package org.bulrushtack.standin.service

/**
 * How a plain service behaves.
 *
 * @property workMillis the time of one call
 * @property coldMillis how long it is cold after a start
 * @property coldConcurrency how many calls it bears while it is cold; with more it falls over
 */
data class ServiceOptions(
    val workMillis: Long = 10,
    val coldMillis: Long = 1_000,
    val coldConcurrency: Int = 2,
    val reportLagMillis: Long = 500,
)
