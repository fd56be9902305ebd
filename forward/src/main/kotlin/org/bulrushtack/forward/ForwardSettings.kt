package org.bulrushtack.forward

import org.bulrushtack.http.HostAndPort

/**
 * The settings of a daemon that forwards requests on the platform.
 *
 * @property name the VM's name
 * @property frontListen host and port for callers
 * @property readinessListen host and port of the readiness endpoint
 * @property directoryListen host and port of the directory, where callers look up addresses
 * @property peerListen host and port for other daemons
 * @property metricsListen host and port of the metrics endpoint
 * @property seeds hosts on which other daemons may run
 * @property storeAddress host and port of the platform's store
 * @property heartbeatMillis how often a backend server writes its entry in the store
 * @property graceMillis the grace period from SIGTERM to SIGKILL
 * @property retryRatio the resends per request to a service that all daemons together may make
 * @property retrySlack the further resends that all daemons together may make
 * @property directoryKeepMillis how long callers may cache a directory response
 * @property reservationFreeMillis the longest time that memory may stay reserved on an engine after its last use
 * @property bodyMemoryBytes the most bytes of request bodies that the daemon keeps in memory at the same time
 * @property responseBytes the largest response body that the daemon relays, with its framing
 * @property vm the resources of the VM
 * @property clients limits for what clients may take up
 * @property duties the duties that one daemon at a time performs for the platform, or null if there are none
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
    val responseBytes: Long,
    val logLevel: String,
    val vm: VmResources = VmResources(),
    val duties: DutySettings? = null,
    val clients: ClientLimits = ClientLimits(),
    val heartbeatMillis: Long = DEFAULT_HEARTBEAT_MILLIS,
)

private const val DEFAULT_HEARTBEAT_MILLIS = 1_200L
