package org.bulrushtack.core.call

import org.bulrushtack.core.call.ActiveCall.Stage
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.RecordIdentifiers
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.log.CallKey
import org.bulrushtack.core.log.ClaimEntry
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.server.ServerSelector
import kotlin.random.Random

/**
 * Handles service calls at the ingress daemon. A call that may not be repeated is dispatched at most once, and only
 * under a claim that holds its key in the log; its outcome is recorded for later requests with the same key.
 * Reads the log region, writes the calls region and pending records.
 */
internal class CallController(
    private val blackboard: Blackboard,
    directory: BackendServerDirectory,
    selector: ServerSelector,
    identifiers: RecordIdentifiers,
    random: Random,
) : Controller {
    private val region = blackboard.calls
    private val claims = CallClaims(blackboard = blackboard, identifiers = identifiers)
    private val admission = CallAdmission(blackboard = blackboard, directory = directory)
    private val dispatches = CallDispatches(
        blackboard = blackboard,
        directory = directory,
        selector = selector,
        claims = claims,
        random = random,
    )
    private val deadlines = CallDeadlines(blackboard = blackboard, directory = directory, claims = claims)

    override fun handle(event: Event, nowMillis: Long): List<Action> = when (event) {
        is Event.CallRequested -> admit(call = event.call, nowMillis = nowMillis)
        is Event.RecordsRead -> advanceAll(nowMillis)
        is Event.CallAnswered -> dispatches.handleAnswer(event)
        is Event.CallAttemptFailed -> dispatches.handleFailure(event = event, nowMillis = nowMillis)
        is Event.ExitDue -> deadlines.endAll { it.stage != Stage.SENT }
        is Event.Tick -> tick(nowMillis)
        else -> emptyList()
    }

    private fun tick(nowMillis: Long): List<Action> = when {
        blackboard.members.exitDue -> deadlines.endAll { true }
        else -> deadlines.check(nowMillis) + dispatches.retryDue(nowMillis)
    }

    private fun admit(call: ServiceCall, nowMillis: Long): List<Action> {
        val problem = admission.rejection(call)
        return when {
            problem != null -> listOf(Action.FailCall(requestId = call.id, problem = problem))
            admission.isRepeatable(call) ->
                dispatches.send(active = ActiveCall(call = call, stage = Stage.READY), nowMillis = nowMillis)
            else -> advance(active = withClaimKey(call), nowMillis = nowMillis)
        }
    }

    private fun withClaimKey(call: ServiceCall): ActiveCall = ActiveCall(
        call = call,
        stage = Stage.AWAITING_HOLDER,
        claimKey = CallKey(
            workspace = call.workspace,
            service = call.service,
            idempotencyKey = call.key?.text.orEmpty(),
        ),
    )

    private fun advanceAll(nowMillis: Long): List<Action> {
        claims.releaseAbandoned()
        return region.active.values
            .filter { it.stage == Stage.CLAIMING || it.stage == Stage.AWAITING_HOLDER }
            .flatMap { advance(active = it, nowMillis = nowMillis) }
    }

    /** Claims the key, dispatches, waits for the holder or returns its outcome, depending on the claim in the log. */
    private fun advance(active: ActiveCall, nowMillis: Long): List<Action> {
        val claim = active.claimKey?.let { blackboard.log.projection.claims.find(it) }
        return when {
            claim == null -> {
                if (active.stage == Stage.AWAITING_HOLDER) claims.append(active = active, nowMillis = nowMillis)
                emptyList()
            }
            claim.claimId == active.claimId -> dispatches.send(active = active, nowMillis = nowMillis)
            claim.fingerprint != active.call.fingerprint -> region.fail(active, ErrorKind.KEY_REUSED)
            else -> awaitOutcome(active = active, claim = claim)
        }
    }

    private fun awaitOutcome(active: ActiveCall, claim: ClaimEntry): List<Action> {
        val outcome = claim.outcome
        val answer = outcome?.answer
        return when {
            outcome == null -> emptyList<Action>().also { region.put(active.copy(stage = Stage.AWAITING_HOLDER)) }
            answer != null -> region.answer(call = active, answer = answer, replayed = true)
            outcome.known -> region.fail(active, ErrorKind.ANSWER_NOT_KEPT)
            else -> region.fail(active, ErrorKind.OUTCOME_UNKNOWN)
        }
    }
}
