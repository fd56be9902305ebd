package org.bulrushtack.core.call

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.CallClaim
import org.bulrushtack.core.log.CallOutcome
import org.bulrushtack.core.log.CallRelease

/** Appends, abandons and releases this daemon's claims on calls, and records their outcomes. */
internal class CallClaims(
    private val blackboard: Blackboard,
    private val identifiers: RecordIdentifiers,
) {
    private val region = blackboard.calls

    /** Queues a claim for the log. */
    fun append(active: ActiveCall, nowMillis: Long) {
        val key = active.claimKey ?: return
        val record = CallClaim(
            id = identifiers.next(),
            call = key,
            claimant = blackboard.identity.name,
            claimantIncarnation = blackboard.identity.incarnation,
            fingerprint = active.call.fingerprint,
        )
        blackboard.log.append(record)
        region.put(
            active.copy(
                stage = ActiveCall.Stage.CLAIMING,
                claimId = record.id,
                retryAtMillis = nowMillis + CLAIM_TIMEOUT_MILLIS,
            ),
        )
    }

    /** Whether the claim has not reached the log in time. */
    fun isTimedOut(active: ActiveCall, nowMillis: Long): Boolean =
        nowMillis >= (active.retryAtMillis ?: Long.MAX_VALUE)

    /** Abandons a claim that is not known to be in the log; if it still gets there, it is released. */
    fun abandon(active: ActiveCall) {
        val claimId = active.claimId ?: return
        val key = active.claimKey ?: return
        blackboard.log.pending.remove(claimId)
        region.abandoned[claimId] = key
        if (region.abandoned.size > MAXIMUM_ABANDONED_CLAIMS) region.abandoned.remove(region.abandoned.keys.first())
    }

    /** Releases a claim that holds its key and under which nothing was dispatched. */
    fun release(active: ActiveCall) {
        val claimId = active.claimId ?: return
        val key = active.claimKey ?: return
        blackboard.log.append(CallRelease(id = identifiers.next(), call = key, claimId = claimId))
    }

    /** Releases abandoned claims that have reached the log. */
    fun releaseAbandoned() {
        val arrived = region.abandoned.filter { (id, key) -> blackboard.log.projection.claims.find(key)?.claimId == id }
        arrived.forEach { (id, key) ->
            region.abandoned.remove(id)
            blackboard.log.append(CallRelease(id = identifiers.next(), call = key, claimId = id))
        }
    }

    /** Records the outcome of a claimed call; an answer that is too large is left out. */
    fun recordOutcome(active: ActiveCall, known: Boolean, answer: CallAnswer?) {
        val key = active.claimKey ?: return
        val record = CallOutcome(
            id = identifiers.next(),
            call = key,
            claimId = active.claimId.orEmpty(),
            known = known,
            answer = answer?.takeIf { it.body.length <= MAXIMUM_RECORDED_ANSWER_CHARACTERS },
        )
        blackboard.log.append(record)
    }
}

private const val CLAIM_TIMEOUT_MILLIS = 3_000L
private const val MAXIMUM_ABANDONED_CLAIMS = 10_000
private const val MAXIMUM_RECORDED_ANSWER_CHARACTERS = 16_384
