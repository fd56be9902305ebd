package org.bulrushtack.daemon.front

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.lifecycle.DaemonMetrics
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange

/** Authorizes requests by their API key; refuses all of them until the daemon has a configuration. */
internal class RequestAuthorizer(
    private val authenticator: Authenticator,
    private val control: ControlThread,
    private val metrics: DaemonMetrics,
) {
    private val log = ComponentLog(component = "front")

    /** Passes the caller's workspace to [onSuccess], or refuses the request. */
    fun requireWorkspace(exchange: HttpExchange, requestId: String, onSuccess: (String) -> Unit) {
        val tree = control.snapshot.tree
        val workspace = authenticator.authenticateWorkspace(request = exchange.request, tree = tree)
        check(exchange, requestId, workspace, onSuccess)
    }

    /** Passes the operator's name to [onSuccess], or refuses the request. */
    fun requireOperator(exchange: HttpExchange, requestId: String, onSuccess: (String) -> Unit) {
        val tree = control.snapshot.tree
        val operator = authenticator.authenticateOperator(request = exchange.request, tree = tree)
        check(exchange, requestId, operator, onSuccess)
    }

    /** Logs and counts the refusal and responds with [problem]. */
    fun refuse(exchange: HttpExchange, problem: Problem, requestId: String) {
        log.info { "request=$requestId path=${exchange.request.path} refused: ${problem.kind.code}." }
        metrics.countProblem(problem.kind)
        exchange.respond(ProblemWriter.response(problem = problem, requestId = requestId))
    }

    private fun check(exchange: HttpExchange, requestId: String, name: String?, onSuccess: (String) -> Unit) = when {
        !control.snapshot.configured -> refuse(exchange, Problem(ErrorKind.NOT_READY), requestId)
        name == null -> refuse(exchange, Problem(ErrorKind.UNAUTHENTICATED), requestId)
        else -> onSuccess(name)
    }
}
