package org.bulrushtack.core.membership

/**
 * One row of the platform's VM list.
 *
 * @property httpAddress host and port for HTTP
 * @property peerAddress host and port for other daemons; empty unless [kind] is `ENTRY`
 * @property serves the models of an engine or the services of a plain service's backend server
 */
public data class VmRecord(
    val name: String,
    val kind: VmKind,
    val dataCentre: String,
    val state: VmState,
    val httpAddress: String,
    val peerAddress: String = "",
    val serves: List<String> = emptyList(),
)
