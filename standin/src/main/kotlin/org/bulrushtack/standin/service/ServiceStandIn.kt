package org.bulrushtack.standin.service

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.standin.LaggingReport
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInRouter
import org.bulrushtack.standin.StandInTimer
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Simulates a plain service, such as bookings, and records each run; it does not deduplicate by key. */
class ServiceStandIn(
    private val options: ServiceOptions,
) {
    private val runs = ConcurrentLinkedQueue<ServiceRun>()
    private val runCount = AtomicLong(0)
    private val state = ServiceState(options = options, now = ::now)
    private val reports = LaggingReport(lagMillis = options.reportLagMillis)
    private val timer = StandInTimer.create(name = "service")

    @Volatile
    private var faults = ServiceFaults()

    /** Starts its service and control ports. */
    fun start(listen: ListenOptions): StandIn {
        timer.scheduleAtFixedRate({ reports.record(report(), now()) }, 0, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        return StandIn.start(options = listen, service = serviceRoutes(), control = controlRoutes())
    }

    private fun serviceRoutes(): StandInRouter = StandInRouter().apply {
        route("GET", "/v1/requests") { exchange ->
            exchange.respond(StandInRouter.json(status = 200, value = state.list(faults.leaving)))
        }
        route("GET", "/v1/load") { exchange ->
            exchange.respond(StandInRouter.json(status = 200, value = reports.visibleReport(now()) ?: report()))
        }
        route("POST", "/v1/requests/") { exchange ->
            exchange.respond(StandInRouter.json(status = 200, value = mapOf("cancelled" to false)))
        }
        route("POST", "/") { call(it) }
    }

    private fun controlRoutes(): StandInRouter = StandInRouter().apply {
        route("POST", "/control/faults") { exchange ->
            faults = StandInRouter.mapper.treeToValue(StandInRouter.body(exchange), ServiceFaults::class.java)
            exchange.respond(StandInRouter.json(status = 200, value = faults))
        }
        route("GET", "/control/runs") { it.respond(StandInRouter.json(status = 200, value = mapOf("runs" to runs))) }
        route("POST", "/control/restart") { exchange ->
            state.restart()
            exchange.respond(StandInRouter.json(status = 200, value = report()))
        }
    }

    private fun call(exchange: HttpExchange) {
        val id = exchange.request.headers.find("x-request-id").orEmpty()
        val isRunning = state.add(id = id, exchange = exchange)
        val workMillis = options.workMillis + faults.delayMillis
        if (isRunning) timer.schedule({ finish(id) }, workMillis, TimeUnit.MILLISECONDS)
    }

    private fun finish(id: String) {
        val exchange = state.remove(id) ?: return
        val run = record(exchange)
        if (consumeLostAnswer()) {
            exchange.abort()
        } else {
            val headers = HttpHeaderList().with(name = "x-incarnation", value = state.incarnation)
            exchange.respond(StandInRouter.json(status = faults.status, value = run, headers = headers))
        }
    }

    private fun record(exchange: HttpExchange): ServiceRun {
        val (service, operation) = exchange.request.path.trim('/').split('/')
        val run = ServiceRun(
            number = runCount.incrementAndGet(),
            workspace = exchange.request.headers.find("x-workspace").orEmpty(),
            service = service,
            operation = operation,
            key = exchange.request.headers.find("idempotency-key").orEmpty(),
            atMillis = now(),
        )
        runs.add(run)
        return run
    }

    @Synchronized
    private fun consumeLostAnswer(): Boolean {
        val remaining = faults.loseAnswers
        if (remaining > 0) faults = faults.copy(loseAnswers = remaining - 1)
        return remaining > 0
    }

    private fun report(): ServiceReport = ServiceReport(incarnation = state.incarnation, cold = state.isCold)

    private fun now(): Long = System.currentTimeMillis()

    private data class ServiceReport(
        val incarnation: String,
        val cold: Boolean,
    )
}

private const val REPORT_INTERVAL_MILLIS = 50L
