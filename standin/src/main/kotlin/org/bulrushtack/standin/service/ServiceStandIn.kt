package org.bulrushtack.standin.service

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.standin.LaggingReport
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInServer
import org.bulrushtack.standin.StandInTimer
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Stands in for a plain service, such as bookings, and records each run; it does not look at keys. */
class ServiceStandIn(
    private val options: ServiceOptions,
) {
    private val runs = ConcurrentLinkedQueue<ServiceRun>()
    private val count = AtomicLong(0)
    private val life = ServiceLife(options = options, now = ::now)
    private val reports = LaggingReport(lagMillis = options.reportLagMillis)
    private val timer = StandInTimer.create(name = "service")

    @Volatile
    private var faults = ServiceFaults()

    /** Opens its ports. */
    fun start(listen: ListenOptions): StandIn {
        timer.scheduleAtFixedRate({ reports.note(report(), now()) }, 0, REPORT_MILLIS, TimeUnit.MILLISECONDS)
        return StandIn.start(options = listen, service = serviceRoutes(), control = controlRoutes())
    }

    private fun serviceRoutes(): StandInServer = StandInServer().apply {
        route("GET", "/v1/requests") { it.respond(StandInServer.json(status = 200, value = life.list(faults.leaving))) }
        route("GET", "/v1/load") { exchange ->
            exchange.respond(StandInServer.json(status = 200, value = reports.shown(now()) ?: report()))
        }
        route("POST", "/v1/requests/") { exchange ->
            exchange.respond(StandInServer.json(status = 200, value = mapOf("cancelled" to false)))
        }
        route("POST", "/") { call(it) }
    }

    private fun controlRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/control/faults") { exchange ->
            faults = StandInServer.mapper.treeToValue(StandInServer.body(exchange), ServiceFaults::class.java)
            exchange.respond(StandInServer.json(status = 200, value = faults))
        }
        route("GET", "/control/runs") { it.respond(StandInServer.json(status = 200, value = mapOf("runs" to runs))) }
        route("POST", "/control/restart") { exchange ->
            life.restart()
            exchange.respond(StandInServer.json(status = 200, value = report()))
        }
    }

    private fun call(exchange: HttpExchange) {
        val id = exchange.request.headers.find("x-request-id").orEmpty()
        val stands = life.add(id = id, exchange = exchange)
        val workMillis = options.workMillis + faults.delayMillis
        if (stands) timer.schedule({ finish(id) }, workMillis, TimeUnit.MILLISECONDS)
    }

    private fun finish(id: String) {
        val exchange = life.remove(id) ?: return
        val run = record(exchange)
        if (loseAnswer()) {
            exchange.abort()
        } else {
            val headers = HttpHeaderList().with(name = "x-incarnation", value = life.incarnation)
            exchange.respond(StandInServer.json(status = 201, value = run, headers = headers))
        }
    }

    private fun record(exchange: HttpExchange): ServiceRun {
        val (service, operation) = exchange.request.path.trim('/').split('/')
        val run = ServiceRun(
            number = count.incrementAndGet(),
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
    private fun loseAnswer(): Boolean {
        val left = faults.loseAnswers
        if (left > 0) faults = faults.copy(loseAnswers = left - 1)
        return left > 0
    }

    private fun report(): ServiceReport = ServiceReport(incarnation = life.incarnation, cold = life.isCold)

    private fun now(): Long = System.currentTimeMillis()

    private data class ServiceReport(
        val incarnation: String,
        val cold: Boolean,
    )
}

private const val REPORT_MILLIS = 50L
