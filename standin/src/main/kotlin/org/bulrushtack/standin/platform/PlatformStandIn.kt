package org.bulrushtack.standin.platform

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInServer
import org.bulrushtack.standin.StandInTimer
import java.util.concurrent.TimeUnit

/** Stands in for the platform: an append-only log, a lagging VM list and a rate-limited weight store. */
class PlatformStandIn(
    private val options: PlatformOptions,
) {
    private val log = RecordLog(retentionMillis = options.retentionMillis)
    private val vms = LaggingVmList(lagMillis = options.vmLagMillis)
    private val weights = WeightStore(bytesPerSecond = options.weightBytesPerSecond)
    private val rate = RateLimit(perSecond = options.appendsPerSecond)
    private val timer = StandInTimer.create(name = "platform")

    @Volatile
    private var faults = PlatformFaults()

    /** Opens its ports. */
    fun start(listen: ListenOptions): StandIn =
        StandIn.start(options = listen, service = serviceRoutes(), control = controlRoutes())

    private fun serviceRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/log/records") { exchange -> unlessOut(exchange) { append(exchange) } }
        route("GET", "/log/records") { exchange -> unlessOut(exchange) { read(exchange) } }
        route("GET", "/vms") { it.respond(StandInServer.json(status = 200, value = vms.shown(now()))) }
        route("GET", "/weights/") { exchange -> weigh(exchange) }
    }

    private fun controlRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/control/faults") { exchange ->
            faults = StandInServer.mapper.treeToValue(StandInServer.body(exchange), PlatformFaults::class.java)
            exchange.respond(StandInServer.json(status = 200, value = faults))
        }
        route("POST", "/control/vms") { exchange ->
            vms.put(row = StandInServer.body(exchange) as ObjectNode, nowMillis = now())
            exchange.respond(StandInServer.json(status = 200, value = vms.current()))
        }
        route("DELETE", "/control/vms/") { exchange ->
            vms.remove(name = exchange.request.path.substringAfterLast('/'), nowMillis = now())
            exchange.respond(StandInServer.json(status = 200, value = vms.current()))
        }
    }

    private fun unlessOut(exchange: HttpExchange, answer: () -> Unit) {
        val current = faults
        when {
            current.outage -> exchange.abort()
            current.delayMillis > 0 -> timer.schedule(answer, current.delayMillis, TimeUnit.MILLISECONDS)
            else -> answer()
        }
    }

    private fun append(exchange: HttpExchange) {
        if (!rate.take(now())) {
            exchange.respond(StandInServer.json(status = 429, value = mapOf("error" to "too many appends")))
            return
        }
        val records: List<JsonNode> = StandInServer.body(exchange)["records"].toList()
        val last = log.append(records = records, nowMillis = now())
        if (loseAnswer()) {
            exchange.abort()
        } else {
            exchange.respond(StandInServer.json(status = 200, value = mapOf("last" to last)))
        }
    }

    @Synchronized
    private fun loseAnswer(): Boolean {
        val left = faults.loseAnswers
        if (left > 0) faults = faults.copy(loseAnswers = left - 1)
        return left > 0
    }

    private fun read(exchange: HttpExchange) {
        val query = exchange.request.query
        val from = query["from"]?.toLongOrNull() ?: 1
        val limit = query["limit"]?.toIntOrNull() ?: DEFAULT_LIMIT
        val waitMillis = query["waitMillis"]?.toLongOrNull() ?: 0
        answerRead(exchange = exchange, from = from, limit = limit, untilMillis = now() + waitMillis)
    }

    private fun answerRead(exchange: HttpExchange, from: Long, limit: Int, untilMillis: Long) {
        if (faults.outage) {
            exchange.abort()
        } else if (log.tail() >= from || now() >= untilMillis) {
            exchange.respond(StandInServer.json(status = 200, value = log.page(from, limit, now())))
        } else {
            timer.schedule({ answerRead(exchange, from, limit, untilMillis) }, LOOK_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun weigh(exchange: HttpExchange) {
        val bytes = exchange.request.query["bytes"]?.toLongOrNull() ?: DEFAULT_WEIGHT_BYTES
        val waitMillis = weights.reserve(bytes = bytes, nowMillis = now())
        val answer = { exchange.respond(StandInServer.json(status = 200, value = mapOf("bytes" to bytes))) }
        timer.schedule(answer, waitMillis, TimeUnit.MILLISECONDS)
    }

    private fun now(): Long = System.currentTimeMillis()
}

private const val DEFAULT_LIMIT = 500
private const val LOOK_MILLIS = 2L
private const val DEFAULT_WEIGHT_BYTES = 1_000_000L
