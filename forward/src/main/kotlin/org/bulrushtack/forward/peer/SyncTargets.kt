package org.bulrushtack.forward.peer

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.leaderCandidates
import org.bulrushtack.core.daemon.ranked
import org.bulrushtack.core.daemon.storeReader
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
     * The daemons that have the freshest records: the leaders, and the one that reads the store for all. In an outage
     * the reader changes with each failed turn; one that is far down the rank adds no connection at every daemon.
     */
    fun sources(nowMillis: Long): List<DaemonInfo> {
        val ranked = daemons.ranked(nowMillis)
        val reader = daemons.storeReader(nowMillis)
        return ranked.take(SYNCED_LEADERS) + ranked.take(RECEIVERS).drop(SYNCED_LEADERS).filter { it == reader }
    }

    /**
     * The addresses of the daemons with which a sync is due at [nowMillis]: the leaders, the reader, some without a
     * rank, some unseen ones, and, while the leaders pass on no fresh records, others in turn.
     */
    fun due(nowMillis: Long): Set<String> {
        val unseen = daemons.unseenAddresses(nowMillis).filter { probes.isDue(it, nowMillis) }.take(PROBES_PER_TICK)
        val unranked = daemons.live(nowMillis).filter { it.rank == null }.take(PROBES_PER_TICK)
        val fallback = if (replica.isStale) fallbackPeers(nowMillis) else emptyList()
        val known = sources(nowMillis) + unranked + fallback
        return (known.map { it.peerAddress } + unseen - daemons.self.peerAddress).toSet()
    }

    /** The addresses of the daemons to ask when those with which a sync was due don't respond. */
    fun alternatives(nowMillis: Long): Set<String> =
        (sources(nowMillis) + fallbackPeers(nowMillis)).map { it.peerAddress }.toSet() - daemons.self.peerAddress

    /** The leaders and the next daemons in rank, which get at once what this one has read in the place of others. */
    fun receivers(nowMillis: Long): List<DaemonInfo> =
        (leaders(nowMillis) + daemons.leaderCandidates(nowMillis).take(RECEIVERS)).distinctBy { it.name } - daemons.self

    /** The leaders and the next daemons that might read the store for all, which hear at once who can't read it. */
    fun readers(nowMillis: Long): List<DaemonInfo> {
        val leaders = leaders(nowMillis)
        val others = daemons.leaderCandidates(nowMillis) - leaders.toSet() - daemons.self
        return leaders + others.filterNot { it.storeUnreadable }.take(NEXT_READERS) - daemons.self
    }

    private fun fallbackPeers(nowMillis: Long): List<DaemonInfo> = fallbacks.next(
        order = daemons.ranked(nowMillis).drop(SYNCED_LEADERS),
        self = daemons.self,
        count = FALLBACKS_PER_TICK,
    )
}

/** The leader and the next daemon in rank. */
private const val SYNCED_LEADERS = 2

/** All of a small system; in a large one, the others get the records with their next sync. */
private const val RECEIVERS = 12

/** Of these, two try at once, and the others take over if the two can't read the store either. */
private const val NEXT_READERS = 3

/** Keeps many daemons that start together from all syncing with one another. */
private const val PROBES_PER_TICK = 3

/** Another data centre's daemons are found within two syncs, also if the first ones have no fresh records either. */
private const val FALLBACKS_PER_TICK = 3
