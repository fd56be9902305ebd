package org.bulrushtack.core.server

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.ownership.RendezvousHash

/** Looks up which daemon owns or should own a backend server, and its address for work. */
public class OwnerDirectory(
    private val blackboard: Blackboard,
) {
    private var candidates: Candidates? = null

    /** The daemon that should own [server], by rendezvous hash: one of its own data centre while one is live there. */
    public fun preferredOwner(server: BackendServer, nowMillis: Long): String? {
        val current = candidates?.takeIf { it.atMillis == nowMillis } ?: newCandidates(nowMillis)
        candidates = current
        val eligible = current.byDataCentre[server.vm.dataCentre] ?: current.all
        return RendezvousHash.choose(key = server.name, candidates = eligible)
    }

    /** The daemon that accepts work for [server] now: the recorded owner while it is live, else the preferred owner. */
    public fun currentOwner(server: BackendServer, nowMillis: Long): String? {
        val recorded = blackboard.log.projection.owners.find(server.name)?.owner
        if (recorded != null && isLive(name = recorded, nowMillis = nowMillis)) return recorded
        return preferredOwner(server = server, nowMillis = nowMillis)
    }

    /** The address at which the daemon [name] accepts work from its peers; empty for this daemon. */
    public fun peerAddressOf(name: String): String =
        if (name == blackboard.identity.name) "" else blackboard.members.vms[name]?.peerAddress.orEmpty()

    /** Whether the last heartbeat of the daemon [name] is within the lease; always true for this daemon. */
    public fun isLive(name: String, nowMillis: Long): Boolean =
        name == blackboard.identity.name || blackboard.members.isLive(name = name, nowMillis = nowMillis)

    private fun newCandidates(nowMillis: Long): Candidates {
        val active = blackboard.members.activeMembers(nowMillis)
        val all = if (blackboard.members.leaving) active else active + blackboard.identity.name
        return Candidates(atMillis = nowMillis, all = all, byDataCentre = all.groupBy { dataCentreOf(it) })
    }

    private fun dataCentreOf(daemon: String): String? = when (daemon) {
        blackboard.identity.name -> blackboard.identity.dataCentre
        else -> blackboard.members.vms[daemon]?.dataCentre
    }

    /** The daemons that may own servers at one point in time; cached, since they are the same for all servers. */
    private data class Candidates(
        val atMillis: Long,
        val all: List<String>,
        val byDataCentre: Map<String?, List<String>>,
    )
}
