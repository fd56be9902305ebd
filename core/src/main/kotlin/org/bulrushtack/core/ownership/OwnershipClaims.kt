package org.bulrushtack.core.ownership

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.log.LogRecord
import org.bulrushtack.core.log.OwnershipClaim
import org.bulrushtack.core.log.OwnershipRelease
import org.bulrushtack.core.server.BackendServer

/** Decides when this daemon appends a claim on a backend server, or a release of one that it owns. */
internal class OwnershipClaims(
    private val blackboard: Blackboard,
    private val identifiers: RecordIdentifiers,
) {
    private val self = blackboard.identity
    private val lastRecordIds = HashMap<String, String>()
    private val preferredSinceMillis = HashMap<String, Long>()
    private var startedAtMillis: Long? = null

    /** Appends a claim or a release of [server] if one is due; [isPreferred] is whether this daemon should own it. */
    fun review(server: BackendServer, isPreferred: Boolean, nowMillis: Long) {
        val name = server.name
        if (isPreferred) preferredSinceMillis.putIfAbsent(name, nowMillis) else preferredSinceMillis.remove(name)
        if (lastRecordIds[name] in blackboard.log.pending) return
        val record = dueRecord(server = server, isPreferred = isPreferred, nowMillis = nowMillis) ?: return
        lastRecordIds[name] = record.id
        blackboard.log.append(record = record, deadlineAtMillis = nowMillis + APPEND_TIMEOUT_MILLIS)
    }

    /** Whether this incarnation is the recorded owner of [server]. */
    fun isRecordedOwner(server: String): Boolean {
        val entry = blackboard.log.projection.owners.find(server)
        return entry?.owner == self.name && entry.ownerIncarnation == self.incarnation
    }

    /** Whether this daemon has been running long enough to have received heartbeats of all live owners. */
    fun isPastStartup(nowMillis: Long): Boolean {
        val startedAt = startedAtMillis ?: nowMillis.also { startedAtMillis = it }
        return nowMillis - startedAt >= STARTUP_MILLIS || blackboard.members.peers(self.name).isEmpty()
    }

    private fun dueRecord(server: BackendServer, isPreferred: Boolean, nowMillis: Long): LogRecord? {
        val epoch = blackboard.log.projection.owners.find(server.name)?.epoch ?: 0
        val owns = isRecordedOwner(server.name)
        return when {
            isPreferred && !owns && mayClaim(server = server, nowMillis = nowMillis) -> OwnershipClaim(
                id = identifiers.next(),
                server = server.name,
                owner = self.name,
                ownerIncarnation = self.incarnation,
                replacesEpoch = epoch,
            )
            owns && blackboard.members.leaving && blackboard.members.activeMembers(nowMillis).isEmpty() ->
                OwnershipRelease(id = identifiers.next(), server = server.name, epoch = epoch)
            else -> null
        }
    }

    /** A claim on the server of a live owner waits until this daemon has been the preferred owner for a while. */
    private fun mayClaim(server: BackendServer, nowMillis: Long): Boolean {
        val entry = blackboard.log.projection.owners.find(server.name)
        val owner = entry?.owner
        val member = blackboard.members.members[owner]
        val isLive = owner != null && blackboard.members.isLive(name = owner, nowMillis = nowMillis)
        return when {
            !blackboard.log.isConfirmed(nowMillis) -> false
            owner == null || owner == self.name -> true
            !isLive -> isPastStartup(nowMillis)
            member?.digest?.incarnation != entry.ownerIncarnation || member?.digest?.leaving == true -> true
            else -> nowMillis - (preferredSinceMillis[server.name] ?: nowMillis) >= CLAIM_DELAY_MILLIS
        }
    }
}

private const val CLAIM_DELAY_MILLIS = 10_000L
private const val STARTUP_MILLIS = 4_000L
private const val APPEND_TIMEOUT_MILLIS = 5_000L
