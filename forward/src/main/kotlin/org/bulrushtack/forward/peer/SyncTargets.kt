package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.forward.store.StoreReplica

/** Chooses the daemons with which this one syncs. */
internal class SyncTargets(
    private val daemons: DaemonTable,
    private val replica: StoreReplica,
    private val probes: ProbeSchedule,
) {
    private val fallbacks = FallbackPeers()

    /** The leader and the next daemon in rank, which get every daemon's state and pass on the records. */
    fun leaders(nowMillis: Long): List<DaemonInfo> = daemons.ranked(nowMillis).take(SYNCED_LEADERS)

    /**
     * The addresses of the daemons with which a sync is due at [nowMillis]: the leaders, some without a rank,
     * some unseen ones, and, while the leaders pass on no fresh records, others in turn.
     */
    fun due(nowMillis: Long): Set<String> {
        val unseen = daemons.unseenAddresses(nowMillis).filter { probes.isDue(it, nowMillis) }.take(PROBES_PER_TICK)
        val unranked = daemons.live(nowMillis).filter { it.rank == null }.take(PROBES_PER_TICK)
        val fallback = if (replica.isStale) fallbackPeers(nowMillis) else emptyList()
        val known = leaders(nowMillis) + unranked + fallback
        return (known.map { it.peerAddress } + unseen - daemons.self.peerAddress).toSet()
    }

    private fun fallbackPeers(nowMillis: Long): List<DaemonInfo> = fallbacks.next(
        order = daemons.ranked(nowMillis).drop(SYNCED_LEADERS),
        self = daemons.self,
        count = FALLBACKS_PER_TICK,
    )
}

/** The leader and the next daemon in rank. */
private const val SYNCED_LEADERS = 2

/** Keeps many daemons that start together from all syncing with one another. */
private const val PROBES_PER_TICK = 3

/** Another data centre's daemons are found within two syncs, also if the first ones have no fresh records either. */
private const val FALLBACKS_PER_TICK = 3
