package org.bulrushtack.core.call

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.CallClaim
import org.bulrushtack.core.log.CallOutcome
import org.bulrushtack.core.log.CallRelease

/** Makes, gives up, releases and finishes this daemon's claims of calls. */
internal class CallClaims(
    private val blackboard: Blackboard,
    private val identifiers: RecordIdentifiers,
) {
    private val region = blackboard.calls

    /** Asks for a claim to be appended. */
    fun make(active: ActiveCall, nowMillis: Long) {
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
                retryAtMillis = nowMillis + CLAIM_PATIENCE_MILLIS,
            ),
        )
    }

    /** Whether the log has taken too long over the claim. */
    fun isOverdue(active: ActiveCall, nowMillis: Long): Boolean =
        nowMillis >= (active.retryAtMillis ?: Long.MAX_VALUE)

    /** Gives a claim up that is not known to stand; should it reach the log, it is released. */
    fun abandon(active: ActiveCall) {
        val claimId = active.claimId ?: return
        val key = active.claimKey ?: return
        blackboard.log.pending.remove(claimId)
        region.abandoned[claimId] = key
        if (region.abandoned.size > ABANDONED_CLAIMS) region.abandoned.remove(region.abandoned.keys.first())
    }

    /** Releases a claim that won and under which nothing was dispatched. */
    fun release(active: ActiveCall) {
        val claimId = active.claimId ?: return
        val key = active.claimKey ?: return
        blackboard.log.append(CallRelease(id = identifiers.next(), call = key, claimId = claimId))
    }

    /** Releases abandoned claims that have reached the log after all. */
    fun releaseAbandoned() {
        val arrived = region.abandoned.filter { (id, key) -> blackboard.log.projection.claims.find(key)?.claimId == id }
        arrived.forEach { (id, key) ->
            region.abandoned.remove(id)
            blackboard.log.append(CallRelease(id = identifiers.next(), call = key, claimId = id))
        }
    }

    /** Records how a claimed call ended; an answer that is too large is not kept. */
    fun finish(active: ActiveCall, known: Boolean, answer: CallAnswer?) {
        val key = active.claimKey ?: return
        val record = CallOutcome(
            id = identifiers.next(),
            call = key,
            claimId = active.claimId.orEmpty(),
            known = known,
            answer = answer?.takeIf { it.body.length <= KEPT_ANSWER_CHARACTERS },
        )
        blackboard.log.append(record)
    }
}

private const val CLAIM_PATIENCE_MILLIS = 3_000L
private const val ABANDONED_CLAIMS = 10_000
private const val KEPT_ANSWER_CHARACTERS = 16_384
