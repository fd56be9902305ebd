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
 * The taking side of service calls. A call that may not be repeated is dispatched only under a claim that won in
 * the log, and at most once; its outcome is recorded for later requests with the same key.
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
        region = region,
        directory = directory,
        selector = selector,
        claims = claims,
        random = random,
    )
    private val deadlines = CallDeadlines(blackboard = blackboard, directory = directory, claims = claims)

    override fun handle(event: Event, nowMillis: Long): List<Action> = when (event) {
        is Event.CallRequested -> request(call = event.call, nowMillis = nowMillis)
        is Event.RecordsRead -> followAll(nowMillis)
        is Event.CallAnswered -> dispatches.answered(event)
        is Event.CallAttemptFailed -> dispatches.failed(event = event, nowMillis = nowMillis)
        is Event.Tick -> deadlines.check(nowMillis) + dispatches.retry(nowMillis)
        else -> emptyList()
    }

    private fun request(call: ServiceCall, nowMillis: Long): List<Action> {
        val problem = admission.refusal(call)
        return when {
            problem != null -> listOf(Action.FailCall(requestId = call.id, problem = problem))
            admission.isRepeatable(call) ->
                dispatches.send(active = ActiveCall(call = call, stage = Stage.READY), nowMillis = nowMillis)
            else -> follow(active = claimed(call), nowMillis = nowMillis)
        }
    }

    private fun claimed(call: ServiceCall): ActiveCall = ActiveCall(
        call = call,
        stage = Stage.FOLLOWING,
        claimKey = CallKey(
            workspace = call.workspace,
            service = call.service,
            idempotencyKey = call.key?.text.orEmpty(),
        ),
    )

    private fun followAll(nowMillis: Long): List<Action> {
        claims.releaseAbandoned()
        return region.active.values
            .filter { it.stage == Stage.CLAIMING || it.stage == Stage.FOLLOWING }
            .flatMap { follow(active = it, nowMillis = nowMillis) }
    }

    /** Acts on what the log says of the key: claim it, go ahead, wait for the holder, or repeat its outcome. */
    private fun follow(active: ActiveCall, nowMillis: Long): List<Action> {
        val claim = active.claimKey?.let { blackboard.log.projection.claims.find(it) }
        return when {
            claim == null -> {
                if (active.stage == Stage.FOLLOWING) claims.make(active = active, nowMillis = nowMillis)
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
            outcome == null -> emptyList<Action>().also { region.put(active.copy(stage = Stage.FOLLOWING)) }
            answer != null -> region.answer(call = active, answer = answer, replayed = true)
            outcome.known -> region.fail(active, ErrorKind.ANSWER_NOT_KEPT)
            else -> region.fail(active, ErrorKind.OUTCOME_UNKNOWN)
        }
    }
}
