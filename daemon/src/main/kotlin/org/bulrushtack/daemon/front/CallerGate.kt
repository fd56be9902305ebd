package org.bulrushtack.daemon.front

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.lifecycle.DaemonMetrics
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange

/** Lets only callers and operators with a right key in, and nobody before there is a configuration. */
internal class CallerGate(
    private val authenticator: Authenticator,
    private val control: ControlThread,
    private val metrics: DaemonMetrics,
) {
    private val log = PartLog(part = "front")

    /** Hands a caller's workspace to [onAdmitted], or refuses the request. */
    fun admit(exchange: HttpExchange, requestId: String, onAdmitted: (String) -> Unit) {
        val tree = control.view.tree
        admit(exchange, requestId, authenticator.workspace(request = exchange.request, tree = tree), onAdmitted)
    }

    /** Hands an operator's name to [onAdmitted], or refuses the request. */
    fun admitOperator(exchange: HttpExchange, requestId: String, onAdmitted: (String) -> Unit) {
        val tree = control.view.tree
        admit(exchange, requestId, authenticator.operator(request = exchange.request, tree = tree), onAdmitted)
    }

    /** Refuses a request. */
    fun refuse(exchange: HttpExchange, problem: Problem, requestId: String) {
        log.info { "request=$requestId path=${exchange.request.path} is refused: ${problem.kind.code}." }
        metrics.refused(problem.kind)
        exchange.respond(ProblemWriter.response(problem = problem, requestId = requestId))
    }

    private fun admit(exchange: HttpExchange, requestId: String, name: String?, onAdmitted: (String) -> Unit) = when {
        !control.view.configured -> refuse(exchange, Problem(ErrorKind.NOT_READY), requestId)
        name == null -> refuse(exchange, Problem(ErrorKind.UNAUTHENTICATED), requestId)
        else -> onAdmitted(name)
    }
}
