package org.bulrushtack.core.ownership

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.dispatch.Ledger
import org.bulrushtack.core.log.OwnershipClaim
import org.bulrushtack.core.log.OwnershipRelease
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.BackendServerDirectory

/**
 * Decides which backend servers this daemon owns and how much of their bounds it may use. Claims go through the
 * log; while the log can't be reached, a successor of a dead owner acts provisionally under a smaller share.
 * Reads the log and members regions; writes the set of ledgers and their shares.
 */
internal class OwnershipController(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val identifiers: RecordIdentifiers,
) : Controller {
    private val self = blackboard.identity
    private val claimsInFlight = HashMap<String, String>()
    private val bestSinceMillis = HashMap<String, Long>()
    private val shares = OwnershipShares(blackboard = blackboard)

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        if (!blackboard.log.configured) return emptyList()
        val reviewsAll = event is Event.Tick || event is Event.RecordsRead || event is Event.DrainRequested
        if (reviewsAll) {
            directory.all().forEach { review(server = it, nowMillis = nowMillis) }
            dropGoneServers()
        } else {
            refreshShares(nowMillis)
        }
        return emptyList()
    }

    /** Runs before each dispatch: a process that was paused must not act on a share from before the pause. */
    private fun refreshShares(nowMillis: Long) {
        blackboard.ledgers.openLedgers().mapNotNull { directory.find(it.server) }.forEach { server ->
            val isBest = directory.bestOwner(server = server, nowMillis = nowMillis) == self.name
            updateLedger(server = server, isBest = isBest, nowMillis = nowMillis)
        }
    }

    private fun review(server: BackendServer, nowMillis: Long) {
        val isBest = directory.bestOwner(server = server, nowMillis = nowMillis) == self.name
        if (!isBest) bestSinceMillis.remove(server.name)
        if (isBest) bestSinceMillis.putIfAbsent(server.name, nowMillis)
        claimOrRelease(server = server, isBest = isBest, nowMillis = nowMillis)
        updateLedger(server = server, isBest = isBest, nowMillis = nowMillis)
    }

    private fun claimOrRelease(server: BackendServer, isBest: Boolean, nowMillis: Long) {
        val entry = blackboard.log.folder.owner(server.name)
        val pending = claimsInFlight[server.name]
        if (pending != null && pending in blackboard.log.pending) return
        claimsInFlight.remove(server.name)
        val record = when {
            isBest && !isRecordedOwner(server.name) && mayClaim(server = server, nowMillis = nowMillis) -> OwnershipClaim(
                id = identifiers.next(),
                server = server.name,
                owner = self.name,
                ownerIncarnation = self.incarnation,
                replacesEpoch = entry?.epoch ?: 0,
            )
            blackboard.members.leaving && isRecordedOwner(server.name) && !isBest && nobodyElse(nowMillis) ->
                entry?.let { OwnershipRelease(id = identifiers.next(), server = server.name, epoch = it.epoch) }
            else -> null
        } ?: return
        claimsInFlight[server.name] = record.id
        blackboard.log.append(record = record, givesUpAtMillis = nowMillis + CLAIM_PATIENCE_MILLIS)
    }

    /** A claim on a living owner's server waits until this daemon has been the best choice for a while. */
    private fun mayClaim(server: BackendServer, nowMillis: Long): Boolean {
        if (!blackboard.log.isConfirmed(nowMillis)) return false
        val entry = blackboard.log.folder.owner(server.name)
        val owner = entry?.owner ?: return true
        if (owner == self.name) return true
        val member = blackboard.members.members[owner]
        val gone = member == null || !blackboard.members.isLive(name = owner, nowMillis = nowMillis)
        if (gone) return isPastStart(nowMillis)
        val ownerRestarted = member != null && member.digest.incarnation != entry.ownerIncarnation
        if (ownerRestarted || member?.digest?.leaving == true) return true
        return nowMillis - (bestSinceMillis[server.name] ?: nowMillis) >= STABLE_MILLIS
    }

    /** A daemon that has just started has not had the time to hear from living owners. */
    private fun isPastStart(nowMillis: Long): Boolean {
        val startedAt = blackboard.ledgers.startedAtMillis ?: nowMillis.also { blackboard.ledgers.startedAtMillis = it }
        return nowMillis - startedAt >= STARTING_MILLIS || blackboard.members.peers(self.name).isEmpty()
    }

    private fun nobodyElse(nowMillis: Long): Boolean = blackboard.members.stayingMembers(nowMillis).isEmpty()

    private fun isRecordedOwner(server: String): Boolean {
        val entry = blackboard.log.folder.owner(server) ?: return false
        return entry.owner == self.name && entry.ownerIncarnation == self.incarnation
    }

    private fun updateLedger(server: BackendServer, isBest: Boolean, nowMillis: Long) {
        val entry = blackboard.log.folder.owner(server.name)
        val epoch = entry?.epoch ?: 0
        val ledgers = blackboard.ledgers
        when {
            isRecordedOwner(server.name) -> {
                val ledger = ledgers.open(
                    server = server.name,
                    fence = epoch * FENCES_PER_EPOCH,
                    nowMillis = nowMillis,
                )
                ledger.share = shares.recorded(server = server, entry = entry, nowMillis = nowMillis, ledger = ledger)
            }
            isBest && mayActProvisionally(server = server, nowMillis = nowMillis) -> {
                val ledger = ledgers.open(
                    server = server.name,
                    fence = epoch * FENCES_PER_EPOCH + PROVISIONAL_FENCE,
                    nowMillis = nowMillis,
                )
                ledger.share = Ledger.HALF_SHARE
            }
            else -> ledgers.close(server.name)
        }
    }

    /** The log can't be reached, the recorded owner is not heard, and most daemons are. */
    private fun mayActProvisionally(server: BackendServer, nowMillis: Long): Boolean {
        if (blackboard.log.isConfirmed(nowMillis)) return false
        val owner = blackboard.log.folder.owner(server.name)?.owner
        val ownerLives = owner != null && blackboard.members.isLive(name = owner, nowMillis = nowMillis)
        return !ownerLives && isPastStart(nowMillis) &&
            blackboard.members.hearsMajority(
                self = self.name,
                nowMillis = nowMillis,
                windowMillis = MAJORITY_WINDOW_MILLIS,
            )
    }


    private fun dropGoneServers() {
        val known = directory.all().map { it.name }.toSet()
        blackboard.ledgers.names().filter { it !in known }.forEach { blackboard.ledgers.close(it) }
    }
}

private const val STABLE_MILLIS = 10_000L
private const val STARTING_MILLIS = 4_000L
private const val CLAIM_PATIENCE_MILLIS = 5_000L
private const val MAJORITY_WINDOW_MILLIS = 5_000L
private const val FENCES_PER_EPOCH = 2L
private const val PROVISIONAL_FENCE = 1L
