package org.bulrushtack.standin.service

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.standin.LaggingReport
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Stands in for a plain service, such as bookings, and records each run; it does not look at keys. */
class ServiceStandIn(
    private val options: ServiceOptions,
) {
    private val runs = ConcurrentLinkedQueue<ServiceRun>()
    private val running = ConcurrentHashMap<String, HttpExchange>()
    private val count = AtomicLong(0)
    private val falls = AtomicLong(0)
    private val reports = LaggingReport(lagMillis = options.reportLagMillis)
    private val timer = Executors.newScheduledThreadPool(1) { Thread(it, "service").also { thread -> thread.isDaemon = true } }

    @Volatile
    private var startedAtMillis = now()

    @Volatile
    private var faults = ServiceFaults()

    /** Opens its ports. */
    fun start(listen: ListenOptions): StandIn {
        timer.scheduleAtFixedRate({ reports.note(report(), now()) }, 0, REPORT_MILLIS, TimeUnit.MILLISECONDS)
        return StandIn.start(options = listen, service = serviceRoutes(), control = controlRoutes())
    }

    private fun serviceRoutes(): StandInServer = StandInServer().apply {
        route("GET", "/v1/requests") { list(it) }
        route("GET", "/v1/load") { it.respond(StandInServer.json(status = 200, value = reports.shown(now()) ?: report())) }
        route("POST", "/v1/requests/") { it.respond(StandInServer.json(status = 404, value = mapOf("cancelled" to false))) }
        route("POST", "/") { call(it) }
    }

    private fun controlRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/control/faults") { exchange ->
            faults = StandInServer.mapper.treeToValue(StandInServer.body(exchange), ServiceFaults::class.java)
            exchange.respond(StandInServer.json(status = 200, value = faults))
        }
        route("GET", "/control/runs") { it.respond(StandInServer.json(status = 200, value = mapOf("runs" to runs))) }
        route("POST", "/control/restart") { exchange ->
            restart()
            exchange.respond(StandInServer.json(status = 200, value = mapOf("falls" to falls.get())))
        }
    }

    private fun call(exchange: HttpExchange) {
        val id = exchange.request.headers.find("x-request-id").orEmpty()
        running[id] = exchange
        if (isCold() && running.size > options.coldConcurrency) {
            restart()
            return
        }
        timer.schedule({ finish(id) }, options.workMillis + faults.delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun finish(id: String) {
        val exchange = running.remove(id) ?: return
        val run = record(exchange)
        if (loseAnswer()) {
            exchange.abort()
        } else {
            exchange.respond(StandInServer.json(status = 201, value = run, headers = headers()))
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

    private fun restart() {
        falls.incrementAndGet()
        startedAtMillis = now()
        running.keys.forEach { running.remove(it)?.abort() }
    }

    private fun list(exchange: HttpExchange) {
        val message = StandInServer.mapper.createObjectNode()
            .put("incarnation", incarnation())
            .put("capacity_tokens", 0)
            .put("leaving", faults.leaving)
        val rows = message.putArray("requests")
        running.forEach { (id, held) ->
            rows.addObject()
                .put("id", id)
                .put("owner", held.request.headers.find("x-owner").orEmpty())
                .put("owner_incarnation", held.request.headers.find("x-owner-incarnation").orEmpty())
                .put("reserved_tokens", 0)
        }
        exchange.respond(StandInServer.json(status = 200, value = message))
    }

    private fun report(): ServiceReport = ServiceReport(incarnation = incarnation(), cold = isCold())

    private fun headers(): HttpHeaderList = HttpHeaderList().with(name = "x-incarnation", value = incarnation())

    private fun incarnation(): String = "life-$startedAtMillis"

    private fun isCold(): Boolean = now() - startedAtMillis < options.coldMillis

    private fun now(): Long = System.currentTimeMillis()

    private data class ServiceReport(
        val incarnation: String,
        val cold: Boolean,
    )
}

private const val REPORT_MILLIS = 50L
