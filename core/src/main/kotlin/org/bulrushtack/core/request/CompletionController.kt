package org.bulrushtack.core.request

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.membership.MEMBER_LEASE_MILLIS
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.server.ServerSelectionCriteria
import org.bulrushtack.core.server.ServerSelector
import kotlin.random.Random

/**
 * Handles completions at the ingress daemon: admission, selection of a backend server, retries, and the deadline,
 * which doesn't depend on any other process. Reads all regions, writes the requests region.
 */
internal class CompletionController(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val selector: ServerSelector,
    random: Random,
) : Controller {
    private val region = blackboard.requests
    private val admission = CompletionAdmission(blackboard = blackboard, directory = directory)
    private val retries = CompletionRetries(random = random)

    override fun handle(event: Event, nowMillis: Long): List<Action> = when (event) {
        is Event.CompletionRequested -> admit(request = event.request, nowMillis = nowMillis)
        is Event.AttemptFailed -> handleFailure(event = event, nowMillis = nowMillis)
        is Event.AttemptProgressed ->
            emptyList<Action>().also { region.recordProgress(event.requestId, event.attempt, nowMillis) }
        is Event.RequestEnded -> emptyList<Action>().also { region.remove(event.requestId) }
        is Event.ExitDue -> endAll { it.server == null }
        is Event.Tick -> tick(nowMillis)
        else -> emptyList()
    }

    /** The owners of queued work have refused it by the first tick after the exit is due; the rest was dispatched. */
    private fun tick(nowMillis: Long): List<Action> = when {
        blackboard.members.exitDue -> endAll { true }
        else -> failExpired(nowMillis) + abandonLostOwners(nowMillis) + region.active.values
            .filter { it.retryAtMillis != null && it.retryAtMillis <= nowMillis }
            .flatMap { attempt(active = it, nowMillis = nowMillis) }
    }

    private fun admit(request: CompletionRequest, nowMillis: Long): List<Action> {
        val problem = admission.rejection(request = request, nowMillis = nowMillis)
        if (problem != null) return listOf(Action.FailRequest(requestId = request.id, problem = problem))
        retries.recordFirstAttempt()
        return attempt(active = region.add(request), nowMillis = nowMillis)
    }

    private fun attempt(active: ActiveRequest, nowMillis: Long): List<Action> {
        val criteria = ServerSelectionCriteria(
            candidates = directory.engines(active.request.model),
            reservedTokens = active.request.reservedTokens,
            avoid = active.failedServers,
        )
        val server = selector.select(criteria = criteria, nowMillis = nowMillis)
        val owner = server?.let { directory.owners.currentOwner(server = it, nowMillis = nowMillis) }
        if (server == null || owner == null) {
            val waiting = active.copy(selectionFailures = active.selectionFailures + 1, lastReachedServer = false)
            return retryOrFail(active = waiting, problem = Problem(ErrorKind.NO_BACKEND_SERVER), nowMillis = nowMillis)
        }
        val sent = region.send(active = active, server = server.name, owner = owner)
        return listOf(
            Action.SendAttempt(
                requestId = active.request.id,
                attempt = sent.attempt,
                server = server.name,
                ownerAddress = directory.owners.peerAddressOf(owner),
            ),
        )
    }

    private fun handleFailure(event: Event.AttemptFailed, nowMillis: Long): List<Action> {
        val active = region.active[event.requestId]?.takeIf { it.attempt == event.attempt } ?: return emptyList()
        val failed = region.finishAttempt(
            active = active,
            problem = event.problem,
            reachedServer = event.reachedServer,
        )
        return retryOrFail(active = failed, problem = event.problem, nowMillis = nowMillis)
    }

    private fun retryOrFail(active: ActiveRequest, problem: Problem, nowMillis: Long): List<Action> {
        val retryAtMillis = retries.nextAttemptAtMillis(active = active, problem = problem, nowMillis = nowMillis)
            .takeUnless { blackboard.members.exitDue }
        if (retryAtMillis == null) return fail(active = active, problem = problem)
        region.active[active.request.id] = active.copy(retryAtMillis = retryAtMillis, lastProblem = problem)
        return emptyList()
    }

    private fun failExpired(nowMillis: Long): List<Action> = region.active.values
        .filter { it.request.deadlineAtMillis <= nowMillis }
        .flatMap { active ->
            val neverSent = active.server == null && !active.mayHaveRun
            val lastProblem = active.lastProblem ?: Problem(ErrorKind.QUEUE_TIMEOUT)
            fail(active = active, problem = if (neverSent) lastProblem else Problem(ErrorKind.DEADLINE_EXCEEDED))
        }

    private fun endAll(condition: (ActiveRequest) -> Boolean): List<Action> =
        region.active.values.filter(condition).flatMap { active ->
            val kind = if (active.server == null) ErrorKind.DRAINING else ErrorKind.BACKEND_LOST
            fail(active = active, problem = Problem(kind = kind, detail = EXIT_DETAIL))
        }

    /**
     * Fails the attempts of owners whose lease has expired and that sent no token for as long. A paused owner keeps its
     * connections open, so that no connection error reports it.
     */
    private fun abandonLostOwners(nowMillis: Long): List<Action> = region.active.values
        .filter { active -> active.owner?.let { !directory.owners.isLive(it, nowMillis) } ?: false }
        .filter { active -> active.lastTokenAtMillis.let { it == null || nowMillis - it > MEMBER_LEASE_MILLIS } }
        .flatMap { active ->
            val problem = Problem(kind = ErrorKind.BACKEND_LOST, detail = "The owner of the backend server is silent.")
            val failed = region.finishAttempt(active = active, problem = problem, reachedServer = false)
            retryOrFail(active = failed, problem = problem, nowMillis = nowMillis)
        }

    /** Fails the request; a rejected last attempt must not hide that an earlier one may have run. */
    private fun fail(active: ActiveRequest, problem: Problem): List<Action> {
        val hidesRun = active.mayHaveRun && problem.kind.runState == RunState.NO
        val reported = if (hidesRun) Problem(kind = ErrorKind.BACKEND_LOST, detail = problem.kind.text) else problem
        region.remove(active.request.id)
        return listOf(Action.FailRequest(requestId = active.request.id, problem = reported))
    }
}

private const val EXIT_DETAIL = "The daemon shut down before the answer was complete."
