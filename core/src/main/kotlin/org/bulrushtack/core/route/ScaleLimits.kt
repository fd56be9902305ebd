package org.bulrushtack.core.route

/**
 * The limits for the number of backend servers of a service in each data centre.
 *
 * @property bootMillis the time from the order of a server until it serves
 */
public data class ScaleLimits(
    val minimum: Int,
    val maximum: Int,
    val bootMillis: Long,
)
