package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.front.Authenticator
import org.bulrushtack.daemon.front.CompletionResource
import org.bulrushtack.daemon.front.EntryResource
import org.bulrushtack.daemon.front.HealthResource
import org.bulrushtack.daemon.front.HttpRequestRouter
import org.bulrushtack.daemon.front.RequestAuthorizer
import org.bulrushtack.daemon.front.Route
import org.bulrushtack.daemon.front.ServiceResource
import org.bulrushtack.daemon.front.WallClock
import org.bulrushtack.daemon.operator.StatusResource
import org.bulrushtack.daemon.operator.TreeResource
import org.bulrushtack.daemon.settings.ProcessSettings
import java.security.SecureRandom

/** The routes of the daemon's HTTP interface. */
internal class RouteTable(
    settings: ProcessSettings,
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val metrics: DaemonMetrics,
    private val handlers: ActionHandlers,
) {
    private val wallClock = WallClock { System.currentTimeMillis() }
    private val authorizer = RequestAuthorizer(
        authenticator = Authenticator(settings.bootstrapKeyHash),
        control = control,
        metrics = metrics,
    )

    /** The handler of the daemon's HTTP port. */
    fun router(): HttpRequestRouter = HttpRequestRouter(
        routes = callerRoutes() + operatorRoutes() + healthRoutes(),
        metrics = metrics,
        isLeaving = { control.snapshot.leaving },
    )

    private fun callerRoutes(): List<Route> {
        val entry = EntryResource(control = control, wallClock = wallClock, random = SecureRandom())
        val completion = CompletionResource(
            authorizer = authorizer,
            control = control,
            clock = clock,
            ingress = handlers.completions,
        )
        val service = ServiceResource(
            authorizer = authorizer,
            control = control,
            clock = clock,
            wallClock = wallClock,
            ingress = handlers.calls,
        )
        return listOf(
            Route(method = "GET", path = "/v1/entry", resource = entry),
            Route(method = "POST", path = "/v1/completions", resource = completion),
            Route(method = "POST", path = ServiceResource.PATH, resource = service),
        )
    }

    private fun operatorRoutes(): List<Route> {
        val tree = TreeResource(authorizer = authorizer, control = control, editor = handlers.editor)
        val status = StatusResource(authorizer = authorizer, control = control)
        return listOf(
            Route(method = "GET", path = "/v1/operator/tree", resource = tree::show),
            Route(method = "POST", path = "/v1/operator/tree", resource = tree::edit),
            Route(method = "GET", path = "/v1/operator/export", resource = tree::export),
            Route(method = "GET", path = "/v1/operator/history", resource = status::history),
            Route(method = "GET", path = "/v1/operator/status", resource = status::status),
        )
    }

    private fun healthRoutes(): List<Route> {
        val health = HealthResource(control = control, metrics = metrics)
        return listOf(
            Route(method = "GET", path = "/healthz", resource = { exchange, _ -> health.live(exchange) }),
            Route(method = "GET", path = "/readyz", resource = { exchange, _ -> health.ready(exchange) }),
            Route(method = "GET", path = "/metrics", resource = { exchange, _ -> health.metrics(exchange) }),
        )
    }
}
