package org.bulrushtack.core.request

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.server.ServerChoice
import org.bulrushtack.core.server.ServerNeed
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import kotlin.random.Random

/**
 * The taking side of completions: admission, choice of a backend server, retries, and the deadline, which no
 * other process can hold up. Reads all regions, writes the requests region.
 */
internal class CompletionController(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val choice: ServerChoice,
    random: Random,
) : Controller {
    private val region = blackboard.requests
    private val budget = RetryBudget()
    private val backoff = Backoff(random = random)

    override fun handle(event: Event, nowMillis: Long): List<Action> = when (event) {
        is Event.CompletionRequested -> admit(request = event.request, nowMillis = nowMillis)
        is Event.AttemptFailed -> attemptFailed(event = event, nowMillis = nowMillis)
        is Event.RequestEnded -> ended(event.requestId)
        is Event.Tick -> late(nowMillis) + ownersLost(nowMillis) + retries(nowMillis)
        else -> emptyList()
    }

    private fun admit(request: CompletionRequest, nowMillis: Long): List<Action> {
        val engines = directory.engines(request.model)
        val problem = refusal(request = request, engines = engines, nowMillis = nowMillis)
        if (problem != null) return listOf(Action.FailRequest(requestId = request.id, problem = problem))
        budget.earn()
        region.active[request.id] = ActiveRequest(request = request)
        region.byWorkspace.merge(request.workspace, 1, Int::plus)
        return attempt(id = request.id, nowMillis = nowMillis)
    }

    private fun refusal(request: CompletionRequest, engines: List<BackendServer>, nowMillis: Long): Problem? {
        val capacities = engines.mapNotNull { capacityTokens(it.name) }
        val tooLong = capacities.isNotEmpty() && capacities.size == engines.size &&
            capacities.all { request.reservedTokens > it }
        val fastest = engines.minOfOrNull { it.settings.expectedMillis(request.promptTokens, request.maximumTokens) }
        val leftMillis = request.deadlineAtMillis - nowMillis
        return when {
            !blackboard.log.configured -> Problem(kind = ErrorKind.NOT_READY)
            engines.isEmpty() -> Problem(kind = ErrorKind.UNKNOWN_MODEL, detail = "The model is '${request.model}'.")
            isWorkspaceFull(request.workspace) -> Problem(kind = ErrorKind.WORKSPACE_LIMIT)
            tooLong -> Problem(
                kind = ErrorKind.PROMPT_TOO_LONG,
                detail = "It needs ${request.reservedTokens} tokens; the largest engine has ${capacities.max()}.",
            )
            fastest != null && fastest > leftMillis -> Problem(
                kind = ErrorKind.CANNOT_FINISH,
                detail = "It is expected to take $fastest ms and has $leftMillis ms.",
            )
            else -> null
        }
    }

    private fun isWorkspaceFull(workspace: String): Boolean {
        val path = SettingsPath.ROOT.child(SettingsSchema.WORKSPACES).descend(workspace)
        val limit = blackboard.log.folder.tree.number(path, SettingsSchema.MAX_RUNNING)
        return (region.byWorkspace[workspace] ?: 0) >= limit
    }

    private fun capacityTokens(server: String): Long? {
        val own = blackboard.ledgers.find(server)?.takeIf { it.listed }?.capacityTokens
        return (own ?: blackboard.members.loads[server]?.load?.capacityTokens)?.takeIf { it > 0 }
    }

    private fun attempt(id: String, nowMillis: Long): List<Action> {
        val active = region.active[id] ?: return emptyList()
        val need = ServerNeed(
            candidates = directory.engines(active.request.model),
            reservedTokens = active.request.reservedTokens,
            avoid = active.failedServers,
        )
        val server = choice.choose(need = need, nowMillis = nowMillis)
        val owner = server?.let { directory.currentOwner(server = it, nowMillis = nowMillis) }
        if (server == null || owner == null) {
            return retryLater(active = active, problem = Problem(ErrorKind.NO_BACKEND_SERVER), nowMillis = nowMillis)
        }
        val attempt = active.attempt + 1
        region.active[id] = active.copy(attempt = attempt, server = server.name, owner = owner, retryAtMillis = null)
        region.underWay.merge(server.name, 1, Int::plus)
        return listOf(
            Action.SendAttempt(
                requestId = id,
                attempt = attempt,
                server = server.name,
                ownerAddress = directory.ownerAddress(owner),
            ),
        )
    }

    private fun attemptFailed(event: Event.AttemptFailed, nowMillis: Long): List<Action> {
        val active = region.active[event.requestId] ?: return emptyList()
        if (active.attempt != event.attempt) return emptyList()
        release(active)
        val failed = active.copy(
            server = null,
            failedServers = active.failedServers + listOfNotNull(active.server),
            lastProblem = event.problem,
            dispatched = active.dispatched || event.problem.kind.ran != RunState.NO,
        )
        region.active[event.requestId] = failed
        if (event.problem.kind in FINAL_KINDS) return fail(active = failed, problem = event.problem)
        return retryLater(active = failed, problem = event.problem, nowMillis = nowMillis)
    }

    /** An owner that is silent may be paused with its connections open, so nothing else would tell. */
    private fun ownersLost(nowMillis: Long): List<Action> = region.active.values
        .filter { it.server != null && isLost(owner = it.owner, nowMillis = nowMillis) }
        .flatMap { active ->
            val problem = Problem(kind = ErrorKind.BACKEND_LOST, detail = "The owner of the backend server is silent.")
            val event = Event.AttemptFailed(
                requestId = active.request.id,
                attempt = active.attempt,
                problem = problem,
                tokensReceived = 0,
            )
            attemptFailed(event = event, nowMillis = nowMillis)
        }

    private fun isLost(owner: String?, nowMillis: Long): Boolean =
        owner != null && owner != blackboard.identity.name &&
            !blackboard.members.isLive(name = owner, nowMillis = nowMillis)

    private fun retryLater(active: ActiveRequest, problem: Problem, nowMillis: Long): List<Action> {
        val failures = active.failedServers.size + 1
        val retryAt = nowMillis + backoff.pauseMillis(failures)
        val inTime = retryAt < active.request.deadlineAtMillis
        if (!inTime || active.attempt >= MAXIMUM_ATTEMPTS || !budget.spend()) {
            return fail(active = active, problem = problem)
        }
        region.active[active.request.id] = active.copy(
            server = null,
            owner = null,
            retryAtMillis = retryAt,
            lastProblem = problem,
        )
        return emptyList()
    }

    private fun retries(nowMillis: Long): List<Action> =
        region.active.values.filter { it.retryAtMillis != null && it.retryAtMillis <= nowMillis }
            .flatMap { attempt(id = it.request.id, nowMillis = nowMillis) }

    private fun late(nowMillis: Long): List<Action> =
        region.active.values.filter { it.request.deadlineAtMillis <= nowMillis }.flatMap { active ->
            val neverSent = active.attempt == 0 || (active.server == null && !active.dispatched)
            val kind = if (neverSent) ErrorKind.QUEUE_TIMEOUT else ErrorKind.DEADLINE_EXCEEDED
            fail(active = active, problem = Problem(kind = kind))
        }

    /** A refusal of the last attempt must not hide that an earlier one ran. */
    private fun fail(active: ActiveRequest, problem: Problem): List<Action> {
        val hidesRun = active.dispatched && problem.kind.ran == RunState.NO
        val told = if (hidesRun) Problem(kind = ErrorKind.BACKEND_LOST, detail = problem.kind.text) else problem
        ended(active.request.id)
        return listOf(Action.FailRequest(requestId = active.request.id, problem = told))
    }

    private fun ended(id: String): List<Action> {
        val active = region.active.remove(id) ?: return emptyList()
        release(active)
        region.byWorkspace.computeIfPresent(active.request.workspace) { _, count -> (count - 1).takeIf { it > 0 } }
        return emptyList()
    }

    private fun release(active: ActiveRequest) {
        val server = active.server ?: return
        region.underWay.computeIfPresent(server) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}

private const val MAXIMUM_ATTEMPTS = 8
private val FINAL_KINDS = setOf(
    ErrorKind.PROMPT_TOO_LONG,
    ErrorKind.CANNOT_FINISH,
    ErrorKind.QUEUE_TIMEOUT,
    ErrorKind.MALFORMED_REQUEST,
    ErrorKind.DEADLINE_EXCEEDED,
)
