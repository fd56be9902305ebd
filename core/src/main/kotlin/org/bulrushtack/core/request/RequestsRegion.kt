package org.bulrushtack.core.request

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RunState

/** The part of the blackboard that holds the completions this daemon accepted. Written by [CompletionController]. */
public class RequestsRegion {
    /** Completions whose result is pending, by identifier. */
    public val active: LinkedHashMap<String, ActiveRequest> = LinkedHashMap()

    /** The number of attempts that this daemon has in flight, by backend server. */
    public val inFlight: MutableMap<String, Int> = HashMap()

    /** The number of active completions, by workspace. */
    public val byWorkspace: MutableMap<String, Int> = HashMap()

    internal fun add(request: CompletionRequest): ActiveRequest {
        byWorkspace.merge(request.workspace, 1, Int::plus)
        return put(ActiveRequest(request = request))
    }

    internal fun send(active: ActiveRequest, server: String, owner: String): ActiveRequest {
        inFlight.merge(server, 1, Int::plus)
        val sent = active.copy(
            attempt = active.attempt + 1,
            server = server,
            owner = owner,
            lastTokenAtMillis = null,
            retryAtMillis = null,
        )
        return put(sent)
    }

    internal fun recordProgress(id: String, attempt: Int, nowMillis: Long) {
        active.computeIfPresent(id) { _, request ->
            if (request.attempt == attempt) request.copy(lastTokenAtMillis = nowMillis) else request
        }
    }

    internal fun finishAttempt(active: ActiveRequest, problem: Problem, reachedServer: Boolean): ActiveRequest {
        release(active)
        val isLost = reachedServer && problem.kind == ErrorKind.BACKEND_LOST
        return put(
            active.copy(
                server = null,
                owner = null,
                failedServers = active.failedServers + listOfNotNull(active.server),
                dispatches = active.dispatches + if (reachedServer) 1 else 0,
                lostUnanswered = active.lostUnanswered + if (isLost && active.lastTokenAtMillis == null) 1 else 0,
                lastReachedServer = reachedServer,
                lastProblem = problem,
                mayHaveRun = active.mayHaveRun || problem.kind.runState != RunState.NO,
            ),
        )
    }

    internal fun remove(id: String) {
        val removed = active.remove(id) ?: return
        release(removed)
        byWorkspace.computeIfPresent(removed.request.workspace) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private fun put(request: ActiveRequest): ActiveRequest {
        active[request.request.id] = request
        return request
    }

    private fun release(request: ActiveRequest) {
        val server = request.server ?: return
        inFlight.computeIfPresent(server) { _, count -> (count - 1).takeIf { it > 0 } }
    }
}
