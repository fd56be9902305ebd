package org.bulrushtack.core.ownership

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.dispatch.Ledger
import org.bulrushtack.core.log.LogRegion
import org.bulrushtack.core.log.OwnerEntry
import org.bulrushtack.core.server.BackendServer

/**
 * Computes which share of a backend server's bounds its recorded owner may use, so that an owner that was paused or
 * cut off and its successor together stay within the bounds, even if the server ignores fencing numbers.
 */
internal class OwnershipShares(
    private val blackboard: Blackboard,
) {
    /** The share of [server]'s bounds for its recorded owner at [nowMillis], from 0 to 1. */
    fun recordedOwnerShare(server: BackendServer, entry: OwnerEntry, nowMillis: Long, ledger: Ledger): Double {
        val isFenced = server.settings.checksFencing && ledger.fenceAccepted
        val share = if (isFenced) Ledger.FULL_SHARE else shareWithPredecessors(entry, nowMillis, ledger)
        return minOf(share, shareWithSuccessors(nowMillis))
    }

    /** Leaves room for a successor that considers this daemon dead, and of which this daemon doesn't know. */
    private fun shareWithSuccessors(nowMillis: Long): Double = when {
        !blackboard.log.isConfirmed(nowMillis) -> unconfirmedShare(nowMillis)
        !hasStableQuorum(nowMillis) -> Ledger.HALF_SHARE
        else -> Ledger.FULL_SHARE
    }

    /** A predecessor may use the full bounds until its tail of the log is older than the lease, and then half. */
    private fun shareWithPredecessors(entry: OwnerEntry, nowMillis: Long, ledger: Ledger): Double {
        val uncertain = entry.predecessors.count { mayStillDispatch(it, entry, nowMillis, ledger) }
        val leaseMayRun = nowMillis - ledger.fenceSinceMillis <= LogRegion.CONFIRMATION_MILLIS
        if (uncertain > 0 && leaseMayRun) return Ledger.NO_SHARE
        return maxOf(Ledger.NO_SHARE, Ledger.FULL_SHARE - uncertain * Ledger.HALF_SHARE)
    }

    private fun unconfirmedShare(nowMillis: Long): Double =
        if (hasQuorum(nowMillis)) Ledger.HALF_SHARE else Ledger.NO_SHARE

    /** False once the predecessor has applied this epoch, has restarted, or must have stopped dispatching by itself. */
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
            else -> nowMillis - ledger.fenceSinceMillis < PREDECESSOR_STOP_MILLIS || !hasQuorum(nowMillis)
        }
    }

    /** Without a stable quorum, a provisional owner that considers this daemon dead may be dispatching. */
    private fun hasStableQuorum(nowMillis: Long): Boolean =
        blackboard.members.hasStableQuorum(self = blackboard.identity.name, nowMillis = nowMillis)

    private fun hasQuorum(nowMillis: Long): Boolean = blackboard.members.hasQuorum(
        self = blackboard.identity.name,
        nowMillis = nowMillis,
        windowMillis = ISOLATION_TIMEOUT_MILLIS,
    )
}

private const val ISOLATION_TIMEOUT_MILLIS = 10_000L
private const val PREDECESSOR_STOP_MILLIS = 30_000L
