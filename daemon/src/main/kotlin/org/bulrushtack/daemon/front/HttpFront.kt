package org.bulrushtack.daemon.front

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.lifecycle.DaemonMetrics
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.RequestError
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

    override fun errorResponse(error: RequestError): HttpMessageResponse {
        val kind = when (error) {
            RequestError.MALFORMED -> ErrorKind.MALFORMED_REQUEST
            RequestError.HEADERS_TOO_LARGE -> ErrorKind.HEADERS_TOO_LARGE
            RequestError.BODY_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE
            RequestError.NO_MEMORY -> ErrorKind.OVERLOADED
            RequestError.INCOMPLETE -> ErrorKind.REQUEST_INCOMPLETE
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
