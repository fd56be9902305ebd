package org.bulrushtack.daemon.front

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.life.DaemonMetrics
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpFault
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpMessageResponse
import java.util.UUID

/** Leads requests of callers and operators to their resources. */
internal class HttpFront(
    private val routes: List<Route>,
    private val metrics: DaemonMetrics,
) : HttpHandler {
    private val log = PartLog(part = "front")

    override fun handle(exchange: HttpExchange) {
        val requestId = UUID.randomUUID().toString()
        val request = exchange.request
        val atPath = routes.filter { it.matches(request.path) }
        val route = atPath.firstOrNull { it.method == request.method }
        when {
            route != null -> handle(route = route, exchange = exchange, requestId = requestId)
            atPath.isEmpty() -> refuse(exchange, Problem(ErrorKind.UNKNOWN_PATH), requestId)
            else -> refuse(exchange, Problem(ErrorKind.METHOD_NOT_ALLOWED), requestId)
        }
    }

    override fun answerFault(fault: HttpFault): HttpMessageResponse {
        val kind = when (fault) {
            HttpFault.MALFORMED -> ErrorKind.MALFORMED_REQUEST
            HttpFault.HEADERS_TOO_LARGE -> ErrorKind.HEADERS_TOO_LARGE
            HttpFault.BODY_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE
            HttpFault.NO_MEMORY -> ErrorKind.OVERLOADED
            HttpFault.INCOMPLETE -> ErrorKind.REQUEST_INCOMPLETE
        }
        log.info { "A request was refused: ${kind.code}." }
        metrics.refused(kind)
        return ProblemWriter.response(problem = Problem(kind), requestId = UUID.randomUUID().toString())
    }

    /** A fault in one request must not end the connection thread. */
    @Suppress("TooGenericExceptionCaught")
    private fun handle(route: Route, exchange: HttpExchange, requestId: String) {
        try {
            route.resource.handle(exchange = exchange, requestId = requestId)
        } catch (exception: RuntimeException) {
            log.warn { "request=$requestId met a fault: ${exception.stackTraceToString()}" }
            refuse(exchange, Problem(ErrorKind.INTERNAL), requestId)
        }
    }

    private fun refuse(exchange: HttpExchange, problem: Problem, requestId: String) {
        metrics.refused(problem.kind)
        exchange.respond(ProblemWriter.response(problem = problem, requestId = requestId))
    }
}
