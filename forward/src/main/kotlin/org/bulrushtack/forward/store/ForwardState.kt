package org.bulrushtack.forward.store

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.StartupGracePeriod
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.route.RoutingTable

/** The state that the components of a forwarding daemon share. Only the network thread accesses it. */
internal class ForwardState(
    val daemons: DaemonTable,
    val startupGracePeriod: StartupGracePeriod,
    val lapses: LapsedEntryPolicy,
) {
    val fleet = FleetRegion()

    /** When this daemon heard no other one. */
    val silence = PeerSilence(daemons)

    /** The newest configuration, or null before the first is received. */
    var routing: RoutingTable? = null

    /** Where the configuration came from and when it was last confirmed. */
    val configuration = ConfigurationStatus()

    /** Whether the daemon is shutting down. */
    var draining: Boolean = false

    /** Whether this daemon reaches no backend server while other daemons do. */
    var isCutOff: Boolean = false

    /** The configuration by which requests are decided at [nowMillis]; its version is that of the table in use. */
    fun knowledge(nowMillis: Long): ConfigurationKnowledge =
        configuration.at(nowMillis).copy(version = routing?.configuration?.version)

    /** Whether this daemon may be announced to callers. */
    val isReady: Boolean get() = routing != null && fleet.size > 0 && !draining && !isCutOff
}
