package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.exchange.StreamTimeouts
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.Workspace
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.CallerRequestHead
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.RequestError

/** Admits callers' requests: finds the route and the workspace, and refuses what no configuration allows. */
internal class ForwardHandler(
    private val dependencies: ExchangeDependencies,
    private val drain: DrainState,
) : HttpHandler {
    private val active = HashSet<ForwardedExchange>()

    override val isClosing: Boolean get() = dependencies.state.draining

    /** How many requests are not answered yet. */
    val activeCount: Int get() = active.size

    override fun handle(exchange: HttpExchange) {
        val head = dependencies.codec.callerRequestHead(exchange.request.headers)
        val routing = dependencies.state.routing
        val kind = when {
            drain.rejectsNewRequests(dependencies.thread.nowMillis()) -> ErrorKind.DRAINING
            routing == null -> ErrorKind.NOT_READY
            head.attemptId == null -> ErrorKind.MALFORMED_REQUEST
            else -> null
        }
        if (kind == null) route(exchange, head, checkNotNull(routing)) else refuse(exchange, head, kind)
    }

    override fun errorResponse(error: RequestError): HttpMessageResponse {
        val kind = when (error) {
            RequestError.MALFORMED -> ErrorKind.MALFORMED_REQUEST
            RequestError.HEADERS_TOO_LARGE -> ErrorKind.HEADERS_TOO_LARGE
            RequestError.BODY_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE
            RequestError.NO_MEMORY -> ErrorKind.OVERLOADED
            RequestError.INCOMPLETE -> ErrorKind.REQUEST_INCOMPLETE
        }
        dependencies.metrics.recordProblem(kind)
        dependencies.log.info("A request could not be read.", LogField("kind", kind.code))
        return ProblemWriter.response(problem = Problem(kind), requestId = "unknown")
    }

    private fun route(exchange: HttpExchange, head: CallerRequestHead, routing: RoutingTable) {
        val request = exchange.request
        val path = request.target.substringBefore('?')
        val route = routing.route(host = request.headers.find("host").orEmpty(), path = path)
        val workspace = head.key?.let { routing.workspace(it) }
        when {
            route == null -> refuse(exchange, head, ErrorKind.UNKNOWN_PATH)
            routing.needsKey && !route.open && workspace == null -> refuse(exchange, head, ErrorKind.UNAUTHENTICATED)
            else -> forward(exchange, head, route, workspace)
        }
    }

    private fun forward(exchange: HttpExchange, head: CallerRequestHead, route: Route, workspace: Workspace?) {
        val nowMillis = dependencies.thread.nowMillis()
        val finalMillis = minOf(route.timeoutMillis, head.deadlineMillis ?: Long.MAX_VALUE)
        val order = ForwardOrder(
            requestId = head.attemptId.orEmpty(),
            service = route.service(dependencies.random.nextDouble()),
            route = route,
            caller = head,
            workspace = workspace,
            patience = StreamTimeouts.forRoute(route = route, finalMillis = finalMillis),
            receivedAtMillis = nowMillis,
            finalAtMillis = nowMillis + finalMillis,
            request = exchange.request,
        )
        val forwarded = ForwardedExchange(dependencies, exchange, order, onEnd = { active.remove(it) })
        active.add(forwarded)
        forwarded.start()
    }

    private fun refuse(exchange: HttpExchange, head: CallerRequestHead, kind: ErrorKind) {
        val requestId = head.attemptId ?: "unknown"
        dependencies.metrics.recordProblem(kind)
        dependencies.log.info(
            "A request was refused at admission.",
            LogField("request", requestId),
            LogField("kind", kind.code),
            LogField("status", kind.status),
            LogField("version", dependencies.state.routing?.configuration?.version),
        )
        exchange.respond(ProblemWriter.response(problem = Problem(kind), requestId = requestId))
    }
}
