package org.bulrushtack.forward.store

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.StartupGracePeriod
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.route.RoutingTable

/** What the parts of a forwarding daemon share. Only the network thread reads and writes it. */
internal class ForwardState(
    val daemons: DaemonTable,
    val settling: StartupGracePeriod,
) {
    val fleet = FleetRegion()

    /** The newest configuration, or null before the first one. */
    var routing: RoutingTable? = null

    /** Whether the daemon is shutting down. */
    var draining: Boolean = false

    /** Whether callers may be sent here. */
    val isReady: Boolean get() = routing != null && fleet.size > 0 && !draining
}
