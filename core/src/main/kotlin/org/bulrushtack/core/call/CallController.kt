package org.bulrushtack.core.call

import org.bulrushtack.core.call.ActiveCall.Stage
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.core.log.CallKey
import org.bulrushtack.core.log.CallOutcome
import org.bulrushtack.core.log.ClaimEntry
import org.bulrushtack.core.request.Backoff
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.server.ServerChoice
import org.bulrushtack.core.server.ServerNeed
import kotlin.random.Random

/**
 * The taking side of service calls. A call that may not be repeated is dispatched only under a claim that won in
 * the log, and at most once; its outcome is recorded for later requests with the same key.
 * Reads the log region, writes the calls region and pending records.
 */
internal class CallController(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val choice: ServerChoice,
    private val identifiers: RecordIdentifiers,
    random: Random,
) : Controller {
    private val region = blackboard.calls
    private val claims = CallClaims(blackboard = blackboard, identifiers = identifiers)
    private val admission = CallAdmission(blackboard = blackboard, directory = directory)
    private val backoff = Backoff(random = random)

    override fun handle(event: Event, nowMillis: Long): List<Action> = when (event) {
        is Event.CallRequested -> request(call = event.call, nowMillis = nowMillis)
        is Event.RecordsRead -> folded(nowMillis)
        is Event.CallAnswered -> answered(requestId = event.requestId, answer = event.answer)
        is Event.CallAttemptFailed -> attemptFailed(event = event, nowMillis = nowMillis)
        is Event.Tick -> deadlines(nowMillis) + retries(nowMillis)
        else -> emptyList()
    }

    private fun request(call: ServiceCall, nowMillis: Long): List<Action> {
        val problem = admission.refusal(call)
        if (problem != null) return listOf(Action.FailCall(requestId = call.id, problem = problem))
        if (admission.isRepeatable(call)) {
            region.active[call.id] = ActiveCall(call = call, stage = Stage.READY)
            return dispatch(id = call.id, nowMillis = nowMillis)
        }
        val key = CallKey(workspace = call.workspace, service = call.service, idempotencyKey = call.key?.text.orEmpty())
        val active = ActiveCall(call = call, stage = Stage.FOLLOWING, claimKey = key)
        region.active[call.id] = active
        return follow(active = active, key = key, nowMillis = nowMillis)
    }

    private fun folded(nowMillis: Long): List<Action> {
        claims.releaseAbandoned()
        return region.active.values
            .filter { it.stage == Stage.CLAIMING || it.stage == Stage.FOLLOWING }
            .flatMap { active -> active.claimKey?.let { follow(active, it, nowMillis) }.orEmpty() }
    }

    /** Acts on what the log says of the key: claim it, go ahead, wait for the holder, or repeat its outcome. */
    private fun follow(active: ActiveCall, key: CallKey, nowMillis: Long): List<Action> {
        val claim = blackboard.log.folder.claim(key)
        return when {
            claim == null -> {
                if (active.stage == Stage.FOLLOWING) claims.make(active = active, key = key, nowMillis = nowMillis)
                emptyList()
            }
            claim.claimId == active.claimId -> {
                region.active[active.call.id] = active.copy(stage = Stage.READY)
                dispatch(id = active.call.id, nowMillis = nowMillis)
            }
            claim.fingerprint != active.call.fingerprint -> fail(active, ErrorKind.KEY_REUSED)
            else -> await(active = active, claim = claim)
        }
    }

    private fun await(active: ActiveCall, claim: ClaimEntry): List<Action> {
        val outcome = claim.outcome
        if (outcome == null) {
            region.active[active.call.id] = active.copy(stage = Stage.FOLLOWING)
            return emptyList()
        }
        val answer = outcome.answer
        if (answer == null) return fail(active, if (outcome.known) ErrorKind.ANSWER_NOT_KEPT else ErrorKind.OUTCOME_UNKNOWN)
        region.active.remove(active.call.id)
        return listOf(Action.AnswerCall(requestId = active.call.id, answer = answer, replayed = true))
    }

    private fun dispatch(id: String, nowMillis: Long): List<Action> {
        val active = region.active[id] ?: return emptyList()
        val need = ServerNeed(
            candidates = directory.servers(active.call.service),
            reservedTokens = 0,
            avoid = active.failedServers,
        )
        val server = choice.choose(need = need, nowMillis = nowMillis)
        val owner = server?.let { directory.currentOwner(server = it, nowMillis = nowMillis) }
        if (server == null || owner == null) {
            return retryLater(active, Problem(ErrorKind.NO_BACKEND_SERVER), nowMillis)
        }
        val sent = active.copy(
            stage = Stage.SENT,
            attempt = active.attempt + 1,
            server = server.name,
            retryAtMillis = null,
        )
        region.active[id] = sent
        return listOf(
            Action.SendCall(
                requestId = id,
                attempt = sent.attempt,
                server = server.name,
                ownerAddress = directory.ownerAddress(owner),
            ),
        )
    }

    private fun answered(requestId: String, answer: CallAnswer): List<Action> {
        val active = region.active.remove(requestId) ?: return emptyList()
        recordOutcome(active = active, known = true, answer = answer)
        if (active.callerAnswered) return emptyList()
        return listOf(Action.AnswerCall(requestId = requestId, answer = answer, replayed = false))
    }

    private fun attemptFailed(event: Event.CallAttemptFailed, nowMillis: Long): List<Action> {
        val active = region.active[event.requestId] ?: return emptyList()
        val mayRepeat = active.claimKey == null || event.problem.kind.ran == RunState.NO
        if (mayRepeat) {
            val failed = active.copy(failedServers = active.failedServers + listOfNotNull(active.server), server = null)
            return retryLater(active = failed, problem = event.problem, nowMillis = nowMillis)
        }
        recordOutcome(active = active, known = false, answer = null)
        return fail(active, ErrorKind.OUTCOME_UNKNOWN)
    }

    private fun retryLater(active: ActiveCall, problem: Problem, nowMillis: Long): List<Action> {
        val retryAt = nowMillis + backoff.pauseMillis(active.attempt + 1)
        if (active.attempt >= MAXIMUM_ATTEMPTS || retryAt >= active.call.deadlineAtMillis || active.callerAnswered) {
            claims.release(active)
            return fail(active, problem.kind)
        }
        region.active[active.call.id] =
            active.copy(stage = Stage.READY, retryAtMillis = retryAt, lastProblem = problem)
        return emptyList()
    }

    private fun retries(nowMillis: Long): List<Action> = region.active.values
        .filter { it.stage == Stage.READY && it.retryAtMillis != null && it.retryAtMillis <= nowMillis }
        .flatMap { dispatch(id = it.call.id, nowMillis = nowMillis) }

    private fun deadlines(nowMillis: Long): List<Action> = region.active.values
        .filter { !it.callerAnswered }
        .flatMap { active ->
            val late = active.call.deadlineAtMillis <= nowMillis
            when (active.stage) {
                Stage.CLAIMING -> if (late || claims.isOverdue(active, nowMillis)) abandon(active) else emptyList()
                Stage.FOLLOWING -> if (late || holderIsGone(active, nowMillis)) undecided(active) else emptyList()
                Stage.READY -> if (late) giveUpReady(active) else emptyList()
                Stage.SENT -> if (late) leaveOpen(active) else emptyList()
            }
        }

    private fun abandon(active: ActiveCall): List<Action> {
        claims.abandon(active)
        return fail(active, ErrorKind.CLAIM_UNAVAILABLE)
    }

    private fun undecided(active: ActiveCall): List<Action> = fail(active, ErrorKind.CALL_UNDECIDED)

    private fun giveUpReady(active: ActiveCall): List<Action> {
        claims.release(active)
        return fail(active, active.lastProblem?.kind ?: ErrorKind.QUEUE_TIMEOUT)
    }

    /** The caller is told that the outcome is unknown; the outcome is still awaited and recorded. */
    private fun leaveOpen(active: ActiveCall): List<Action> {
        if (active.claimKey == null) return fail(active, ErrorKind.DEADLINE_EXCEEDED)
        region.active[active.call.id] = active.copy(callerAnswered = true)
        val problem = Problem(ErrorKind.DEADLINE_EXCEEDED)
        return listOf(Action.FailCall(requestId = active.call.id, problem = problem))
    }

    private fun holderIsGone(active: ActiveCall, nowMillis: Long): Boolean {
        val claim = active.claimKey?.let { blackboard.log.folder.claim(it) } ?: return false
        val self = blackboard.identity
        if (claim.claimant == self.name) return claim.claimantIncarnation != self.incarnation
        val member = blackboard.members.members[claim.claimant]
        val restarted = member != null && member.digest.incarnation != claim.claimantIncarnation
        return restarted || !blackboard.members.isLive(name = claim.claimant, nowMillis = nowMillis)
    }

    private fun recordOutcome(active: ActiveCall, known: Boolean, answer: CallAnswer?) {
        val key = active.claimKey ?: return
        val kept = answer?.takeIf { it.body.length <= KEPT_ANSWER_CHARACTERS }
        blackboard.log.append(
            record = CallOutcome(
                id = identifiers.next(),
                call = key,
                claimId = active.claimId.orEmpty(),
                known = known,
                answer = kept,
            ),
        )
    }

    private fun fail(active: ActiveCall, kind: ErrorKind): List<Action> {
        region.active.remove(active.call.id)
        if (active.callerAnswered) return emptyList()
        return listOf(Action.FailCall(requestId = active.call.id, problem = Problem(kind)))
    }
}

private const val MAXIMUM_ATTEMPTS = 6
private const val KEPT_ANSWER_CHARACTERS = 16_384
