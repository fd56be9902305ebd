package org.bulrushtack.core.ownership

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.dispatch.Ledger
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.BackendServerDirectory

/**
 * Decides which backend servers this daemon owns and which share of their bounds it may use. Claims go through the
 * log; while the log can't be reached, the successor of a dead owner acts provisionally with a smaller share.
 * Reads the log and members regions and writes the set of ledgers and their shares.
 */
internal class OwnershipController(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    identifiers: RecordIdentifiers,
) : Controller {
    private val self = blackboard.identity
    private val claims = OwnershipClaims(blackboard = blackboard, identifiers = identifiers)
    private val shares = OwnershipShares(blackboard = blackboard)
    private var nextReviewAtMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        if (!blackboard.log.configured) return emptyList()
        val hasApplied = blackboard.log.appliedEntries.isNotEmpty()
        val isDue = event is Event.Tick && nowMillis >= nextReviewAtMillis
        if (hasApplied || isDue || event is Event.DrainRequested) reviewAll(nowMillis) else refreshShares(nowMillis)
        return emptyList()
    }

    private fun reviewAll(nowMillis: Long) {
        nextReviewAtMillis = nowMillis + REVIEW_INTERVAL_MILLIS
        val servers = directory.all()
        servers.forEach { server ->
            val isPreferred = isPreferred(server = server, nowMillis = nowMillis)
            claims.review(server = server, isPreferred = isPreferred, nowMillis = nowMillis)
            updateLedger(server = server, isPreferred = isPreferred, nowMillis = nowMillis)
        }
        val known = servers.map { it.name }.toSet()
        blackboard.ledgers.names().filter { it !in known }.forEach { blackboard.ledgers.close(it) }
    }

    /** Runs before each dispatch, since a process that was paused must not use a share from before the pause. */
    private fun refreshShares(nowMillis: Long) {
        blackboard.ledgers.openLedgers().mapNotNull { directory.find(it.server) }.forEach { server ->
            updateLedger(server = server, isPreferred = isPreferred(server, nowMillis), nowMillis = nowMillis)
        }
    }

    private fun isPreferred(server: BackendServer, nowMillis: Long): Boolean =
        directory.owners.preferredOwner(server = server, nowMillis = nowMillis) == self.name

    private fun updateLedger(server: BackendServer, isPreferred: Boolean, nowMillis: Long) {
        val entry = blackboard.log.projection.owners.find(server.name)
        val fence = (entry?.epoch ?: 0) * FENCES_PER_EPOCH
        val ledgers = blackboard.ledgers
        when {
            entry != null && claims.isRecordedOwner(server.name) -> {
                val ledger = ledgers.open(server = server.name, fence = fence, nowMillis = nowMillis)
                val share =
                    shares.recordedOwnerShare(server = server, entry = entry, nowMillis = nowMillis, ledger = ledger)
                ledger.updateShare(allowed = share, nowMillis = nowMillis)
            }
            isPreferred && mayActProvisionally(server = server, nowMillis = nowMillis) -> {
                val provisionalFence = fence + PROVISIONAL_FENCE_OFFSET
                val ledger = ledgers.open(server = server.name, fence = provisionalFence, nowMillis = nowMillis)
                ledger.updateShare(allowed = Ledger.HALF_SHARE, nowMillis = nowMillis)
            }
            else -> ledgers.close(server.name)
        }
    }

    /** Whether the log can't be reached, the recorded owner has been unresponsive for long, and there is a quorum. */
    private fun mayActProvisionally(server: BackendServer, nowMillis: Long): Boolean {
        val members = blackboard.members
        val owner = blackboard.log.projection.owners.find(server.name)?.owner
        val lastHeartbeatAtMillis = owner?.let { members.members[it]?.lastHeartbeatAtMillis }
        val ownerIsUnresponsive =
            owner != self.name && nowMillis - (lastHeartbeatAtMillis ?: 0) >= OWNER_TIMEOUT_MILLIS
        val hasQuorum = members.hasQuorum(
            self = self.name,
            nowMillis = nowMillis,
            windowMillis = PROVISIONAL_QUORUM_WINDOW_MILLIS,
        )
        return !blackboard.log.isConfirmed(nowMillis) && ownerIsUnresponsive && hasQuorum &&
            claims.isPastStartup(nowMillis)
    }
}

private const val REVIEW_INTERVAL_MILLIS = 250L
private const val OWNER_TIMEOUT_MILLIS = 8_000L
private const val PROVISIONAL_QUORUM_WINDOW_MILLIS = 2_000L
private const val FENCES_PER_EPOCH = 2L
private const val PROVISIONAL_FENCE_OFFSET = 1L
