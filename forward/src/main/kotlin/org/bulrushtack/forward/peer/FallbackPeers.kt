package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo

/**
 * Chooses the daemons that are asked beside the leaders while these pass on no fresh records: others may have them and
 * be reachable from here alone. Each daemon begins with those that follow it in rank, so that not all ask the same.
 */
internal class FallbackPeers {
    private var asked = 0

    /** The next [count] of the [MAXIMUM_PEERS] daemons that follow [self] in [order], which are chosen in turn. */
    fun next(order: List<DaemonInfo>, self: DaemonInfo, count: Int): List<DaemonInfo> {
        val start = order.indexOfFirst { it.name == self.name } + 1
        val others = (order.drop(start) + order.take(start)).filter { it.name != self.name }.take(MAXIMUM_PEERS)
        val chosen = List(minOf(count, others.size)) { others[(asked + it) % others.size] }
        asked = if (others.isEmpty()) 0 else (asked + chosen.size) % others.size
        return chosen
    }
}

/** In a large system, connections to all others would cost more sockets than a daemon has. */
private const val MAXIMUM_PEERS = 12
