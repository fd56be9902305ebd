package org.bulrushtack.forward

import org.bulrushtack.http.HostAndPort

/**
 * The settings of a daemon that forwards requests on the platform.
 *
 * @property name the VM's name
 * @property frontListen host and port for callers
 * @property readinessListen host and port of the readiness answer
 * @property directoryListen host and port where callers ask for addresses
 * @property peerListen host and port for other daemons
 * @property metricsListen host and port of the measures
 * @property seeds hosts on which other daemons may run
 * @property storeAddress host and port of the platform's store
 * @property graceMillis the time from SIGTERM to SIGKILL
 * @property retryRatio the resends to a service that each of its requests allows, all daemons together
 * @property retrySlack the resends that are allowed beyond that
 * @property directoryKeepMillis how long callers may keep a directory answer
 * @property reservationFreeMillis the longest time that memory may stay reserved on an engine after its last use
 * @property bodyMemoryBytes the most bytes of request bodies that the daemon holds at the same time
 */
data class ForwardSettings(
    val name: String,
    val dataCentre: String,
    val frontListen: HostAndPort,
    val readinessListen: HostAndPort,
    val directoryListen: HostAndPort,
    val peerListen: HostAndPort,
    val metricsListen: HostAndPort,
    val seeds: List<String>,
    val storeAddress: HostAndPort,
    val graceMillis: Long,
    val retryRatio: Double,
    val retrySlack: Double,
    val directoryKeepMillis: Long,
    val reservationFreeMillis: Long,
    val bodyMemoryBytes: Long,
    val logLevel: String,
)
