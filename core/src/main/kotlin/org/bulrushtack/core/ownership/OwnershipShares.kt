package org.bulrushtack.core.ownership

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.dispatch.Ledger
import org.bulrushtack.core.log.LogRegion
import org.bulrushtack.core.log.OwnerEntry
import org.bulrushtack.core.server.BackendServer

/**
 * Says how much of a backend server's bounds its recorded owner may use, so that an owner that was paused or cut
 * off and its successor stay within the bounds together, also where the server ignores fencing numbers.
 */
internal class OwnershipShares(
    private val blackboard: Blackboard,
) {
    /** The share of [server]'s bounds for its recorded owner at [nowMillis], from 0 to 1. */
    fun recorded(server: BackendServer, entry: OwnerEntry, nowMillis: Long, ledger: Ledger): Double {
        val isFenced = server.settings.checksFencing && ledger.fenceAccepted
        val beside = if (isFenced) Ledger.FULL_SHARE else besidePredecessors(entry, nowMillis, ledger)
        return minOf(beside, besideSuccessors(nowMillis))
    }

    /** What may be used beside an owner that has taken this daemon for dead without its knowledge. */
    private fun besideSuccessors(nowMillis: Long): Double = when {
        !blackboard.log.isConfirmed(nowMillis) -> unconfirmed(nowMillis)
        !hasStableQuorum(nowMillis) -> Ledger.HALF_SHARE
        else -> Ledger.FULL_SHARE
    }

    /** A predecessor may use all of the bounds until its knowledge of the log's tail is too old, and then half. */
    private fun besidePredecessors(entry: OwnerEntry, nowMillis: Long, ledger: Ledger): Double {
        val uncertain = entry.predecessors.count { mayStillDispatch(it, entry, nowMillis, ledger) }
        val leaseMayRun = nowMillis - ledger.fenceSinceMillis <= LogRegion.CONFIRMATION_MILLIS
        if (uncertain > 0 && leaseMayRun) return Ledger.NO_SHARE
        return maxOf(Ledger.NO_SHARE, Ledger.FULL_SHARE - uncertain * Ledger.HALF_SHARE)
    }

    private fun unconfirmed(nowMillis: Long): Double =
        if (hasQuorum(nowMillis)) Ledger.HALF_SHARE else Ledger.NO_SHARE

    /** A predecessor is certain once it has folded this epoch, was replaced, or must have stopped by itself. */
    private fun mayStillDispatch(
        predecessor: OwnerEntry.Predecessor,
        entry: OwnerEntry,
        nowMillis: Long,
        ledger: Ledger,
    ): Boolean {
        val self = blackboard.identity
        val digest = blackboard.members.members[predecessor.owner]?.digest
        return when {
            predecessor.owner == self.name -> false
            digest != null && digest.incarnation != predecessor.incarnation -> false
            digest != null && digest.appliedOffset >= entry.epoch -> false
            else -> nowMillis - ledger.fenceSinceMillis < STOPPED_MILLIS || !hasQuorum(nowMillis)
        }
    }

    /** Without it, a provisional owner may act that takes this daemon for dead. */
    private fun hasStableQuorum(nowMillis: Long): Boolean =
        blackboard.members.hasStableQuorum(self = blackboard.identity.name, nowMillis = nowMillis)

    private fun hasQuorum(nowMillis: Long): Boolean = blackboard.members.hasQuorum(
        self = blackboard.identity.name,
        nowMillis = nowMillis,
        windowMillis = ISOLATION_MILLIS,
    )
}

private const val ISOLATION_MILLIS = 10_000L
private const val STOPPED_MILLIS = 30_000L
