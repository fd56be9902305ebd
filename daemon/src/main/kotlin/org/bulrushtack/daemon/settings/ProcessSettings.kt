package org.bulrushtack.daemon.settings

import org.bulrushtack.http.HostAndPort

/**
 * The settings of an entry daemon's process.
 *
 * @property name the VM's name in the platform's list
 * @property httpListen host and port for callers and operators
 * @property peerListen host and port for other daemons
 * @property platformAddress host and port of the platform's service
 * @property bootstrapKeyHash hash of the operator key that is valid while the settings tree has no operator, or empty
 */
data class ProcessSettings(
    val name: String,
    val dataCentre: String,
    val httpListen: HostAndPort,
    val peerListen: HostAndPort,
    val platformAddress: String,
    val bootstrapKeyHash: String,
    val logLevel: String,
    val bodyBytes: Int,
    val headerBytes: Int,
    val requestMillis: Long,
    val drainMillis: Long,
    val networkThreads: Int,
)
