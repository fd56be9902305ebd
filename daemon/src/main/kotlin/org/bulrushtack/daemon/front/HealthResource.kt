package org.bulrushtack.daemon.front

import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.lifecycle.DaemonMetrics
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpMessageResponse

/** Serves the liveness probe, the readiness probe and the metrics. */
internal class HealthResource(
    private val control: ControlThread,
    private val metrics: DaemonMetrics,
) {
    /** Responds with 200 while the process runs. */
    fun live(exchange: HttpExchange) = exchange.respond(text(status = STATUS_OK, text = "live\n"))

    /** Responds with 200 while the daemon has a configuration and isn't leaving (draining), else with 503. */
    fun ready(exchange: HttpExchange) {
        val snapshot = control.snapshot
        val response = when {
            snapshot.leaving -> text(status = STATUS_UNAVAILABLE, text = "leaving\n")
            !snapshot.configured -> text(status = STATUS_UNAVAILABLE, text = "no configuration yet\n")
            else -> text(status = STATUS_OK, text = "ready\n")
        }
        exchange.respond(response)
    }

    /** Responds with the metrics in the Prometheus text format. */
    fun metrics(exchange: HttpExchange) = exchange.respond(text(status = STATUS_OK, text = metrics.scrape()))

    private fun text(status: Int, text: String): HttpMessageResponse =
        HttpMessageResponse(status = status, contentType = "text/plain; charset=utf-8", body = text.toByteArray())
}

private const val STATUS_OK = 200
private const val STATUS_UNAVAILABLE = 503
