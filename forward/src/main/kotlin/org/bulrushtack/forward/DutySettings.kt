package org.bulrushtack.forward

import org.bulrushtack.http.HostAndPort

/**
 * The duties that exactly one daemon at a time performs for the platform.
 *
 * @property address host and port that takes the calls
 * @property names the platform's names of the duties to perform
 * @property isFenced whether the platform refuses calls whose fencing token is lower than one that it has seen
 * @property leaseMillis the time for which a hold counts without a new confirmation
 * @property windowMillis the length of a usage window
 * @property lateMillis the time after the end of a window by which its usage is due
 * @property callsPerSecond the calls that the platform accepts from all daemons together
 */
data class DutySettings(
    val address: HostAndPort,
    val names: Set<String>,
    val isFenced: Boolean,
    val leaseMillis: Long,
    val windowMillis: Long,
    val lateMillis: Long,
    val callsPerSecond: Double,
)
