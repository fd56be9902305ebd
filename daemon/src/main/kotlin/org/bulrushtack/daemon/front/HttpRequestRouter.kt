package org.bulrushtack.daemon.front

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.lifecycle.DaemonMetrics
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.RequestError
import java.util.UUID

/** Routes the requests of callers and operators to their resources by path and method. */
internal class HttpRequestRouter(
    private val routes: List<Route>,
    private val metrics: DaemonMetrics,
    private val isLeaving: () -> Boolean,
) : HttpHandler {
    private val log = ComponentLog(component = "front")

    override val isClosing: Boolean get() = isLeaving()

    override fun handle(exchange: HttpExchange) {
        val requestId = UUID.randomUUID().toString()
        val request = exchange.request
        val routesAtPath = routes.filter { it.matches(request.path) }
        val route = routesAtPath.firstOrNull { it.method == request.method }
        when {
            route != null -> handle(route = route, exchange = exchange, requestId = requestId)
            routesAtPath.isEmpty() -> refuse(exchange, Problem(ErrorKind.UNKNOWN_PATH), requestId)
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
            RequestError.HANDLER_FAILED -> ErrorKind.INTERNAL
        }
        log.info { "A request was refused before routing: ${kind.code}." }
        metrics.countProblem(kind)
        return ProblemWriter.response(problem = Problem(kind), requestId = UUID.randomUUID().toString())
    }

    /** Catches every exception, because a failure in one request must not end the connection's thread. */
    @Suppress("TooGenericExceptionCaught")
    private fun handle(route: Route, exchange: HttpExchange, requestId: String) {
        try {
            route.resource.handle(exchange = exchange, requestId = requestId)
        } catch (exception: RuntimeException) {
            log.warn { "request=$requestId failed with an exception: ${exception.stackTraceToString()}" }
            refuse(exchange, Problem(ErrorKind.INTERNAL), requestId)
        }
    }

    private fun refuse(exchange: HttpExchange, problem: Problem, requestId: String) {
        metrics.countProblem(problem.kind)
        exchange.respond(ProblemWriter.response(problem = problem, requestId = requestId))
    }
}
