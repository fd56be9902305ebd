package org.bulrushtack.core.call

import org.bulrushtack.core.call.ActiveCall.Stage
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.request.Backoff
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.server.ServerSelectionCriteria
import org.bulrushtack.core.server.ServerSelector
import kotlin.random.Random

/** Dispatches calls. A call under a claim is retried only while no earlier attempt can have run. */
internal class CallDispatches(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val selector: ServerSelector,
    private val claims: CallClaims,
    random: Random,
) {
    private val region = blackboard.calls
    private val backoff = Backoff(random = random)

    /** Sends [active] to the owner of a backend server, or schedules a retry. */
    fun send(active: ActiveCall, nowMillis: Long): List<Action> {
        val criteria = ServerSelectionCriteria(
            candidates = directory.servers(active.call.service),
            reservedTokens = 0,
            avoid = active.failedServers,
        )
        val server = selector.select(criteria = criteria, nowMillis = nowMillis)
        val owner = server?.let { directory.owners.currentOwner(server = it, nowMillis = nowMillis) }
        if (server == null || owner == null) {
            return retryOrFail(active = active, problem = Problem(ErrorKind.NO_BACKEND_SERVER), nowMillis = nowMillis)
        }
        val attempt = active.attempt + 1
        region.put(active.copy(stage = Stage.SENT, attempt = attempt, server = server.name, retryAtMillis = null))
        return listOf(
            Action.SendCall(
                requestId = active.call.id,
                attempt = attempt,
                server = server.name,
                ownerAddress = directory.owners.peerAddressOf(owner),
            ),
        )
    }

    /** Sends the calls whose backoff has passed. */
    fun retryDue(nowMillis: Long): List<Action> = region.active.values
        .filter { it.stage == Stage.READY && it.retryAtMillis != null && it.retryAtMillis <= nowMillis }
        .flatMap { send(active = it, nowMillis = nowMillis) }

    /** Records the answer of the service and passes it to the caller. */
    fun handleAnswer(event: Event.CallAnswered): List<Action> {
        val active = region.active[event.requestId] ?: return emptyList()
        claims.recordOutcome(active = active, known = true, answer = event.answer)
        return region.answer(call = active, answer = event.answer, replayed = false)
    }

    /** Retries after a failed attempt, or records that the outcome is unknown. */
    fun handleFailure(event: Event.CallAttemptFailed, nowMillis: Long): List<Action> {
        val active = region.active[event.requestId]
        val mayRepeat = active?.claimKey == null || event.problem.kind.runState == RunState.NO
        return when {
            active == null -> emptyList()
            mayRepeat -> retryOrFail(
                active = active.afterFailedAttempt(event.problem),
                problem = event.problem,
                nowMillis = nowMillis,
            )
            else -> {
                claims.recordOutcome(active = active, known = false, answer = null)
                region.fail(active, ErrorKind.OUTCOME_UNKNOWN)
            }
        }
    }

    private fun retryOrFail(active: ActiveCall, problem: Problem, nowMillis: Long): List<Action> {
        val retryAtMillis = nowMillis + backoff.delayMillis(active.attempt + 1)
        val tooLate = retryAtMillis >= active.call.deadlineAtMillis || active.callerAnswered
        if (tooLate || blackboard.members.exitDue || active.attempt >= MAXIMUM_ATTEMPTS) {
            claims.release(active)
            return region.fail(active, problem.kind)
        }
        region.put(active.copy(stage = Stage.READY, retryAtMillis = retryAtMillis, lastProblem = problem))
        return emptyList()
    }
}

private const val MAXIMUM_ATTEMPTS = 6
