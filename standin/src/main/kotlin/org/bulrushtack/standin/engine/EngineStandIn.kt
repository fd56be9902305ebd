package org.bulrushtack.standin.engine

import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.standin.LaggingReport
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInServer
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Stands in for a model engine. */
class EngineStandIn(
    private val options: EngineOptions,
) {
    private val cache = PrefixCache(capacityTokens = options.cacheTokens, eventLagMillis = options.eventLagMillis)
    private val batch = EngineBatch(options = options, onFall = cache::clear)
    private val reports = LaggingReport(lagMillis = options.reportLagMillis)
    private val highestFence = AtomicLong(0)
    private val timer = Executors.newScheduledThreadPool(1) { Thread(it, "engine").also { thread -> thread.isDaemon = true } }

    /** Opens its ports and starts its batch. */
    fun start(listen: ListenOptions): StandIn {
        batch.restart(now())
        timer.scheduleAtFixedRate({ step() }, options.stepMillis, options.stepMillis, TimeUnit.MILLISECONDS)
        return StandIn.start(options = listen, service = serviceRoutes(), control = controlRoutes())
    }

    private fun serviceRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/v1/completions") { complete(it) }
        route("GET", "/v1/requests") { list(it) }
        route("POST", "/v1/requests/") { cancel(it) }
        route("GET", "/v1/load") { it.respond(StandInServer.json(status = 200, value = reports.shown(now()) ?: report())) }
        route("GET", "/v1/cache/events") { events(it) }
        route("POST", "/v1/kv/export") { export(it) }
        route("POST", "/v1/kv/import") { import(it) }
        route("POST", "/v1/orders") { order(it) }
    }

    private fun controlRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/control/faults") { exchange ->
            batch.faults = StandInServer.mapper.treeToValue(StandInServer.body(exchange), EngineFaults::class.java)
            exchange.respond(StandInServer.json(status = 200, value = batch.faults))
        }
        route("POST", "/control/restart") { exchange ->
            batch.restart(now())
            cache.clear()
            exchange.respond(StandInServer.json(status = 200, value = batch.stats))
        }
        route("POST", "/control/cool-down") { exchange ->
            batch.coolDown(now())
            exchange.respond(StandInServer.json(status = 200, value = batch.stats))
        }
        route("GET", "/control/stats") { it.respond(StandInServer.json(status = 200, value = batch.stats)) }
    }

    private fun step() {
        batch.step(now())
        reports.note(report = report(), nowMillis = now())
    }

    private fun report(): EngineReport = EngineReport(
        incarnation = batch.incarnation,
        cold = batch.isCold(now()),
        heldTokens = batch.stats.heldTokens,
        running = batch.stats.running,
    )

    private fun complete(exchange: HttpExchange) {
        val body = StandInServer.body(exchange)
        val model = body["model"].asText()
        when {
            model != options.model -> refuse(exchange = exchange, status = NOT_FOUND, text = "no such model")
            isStale(exchange) -> refuse(exchange = exchange, status = STALE, text = "old fencing number")
            else -> accept(exchange = exchange, body = body)
        }
    }

    private fun accept(exchange: HttpExchange, body: JsonNode) {
        val prompt = body["prompt"].asText()
        val promptTokens = (prompt.length + CHARACTERS_PER_TOKEN - 1L) / CHARACTERS_PER_TOKEN
        val headers = exchange.request.headers
        val task = EngineTask(
            id = headers.find("x-request-id").orEmpty(),
            owner = headers.find("x-owner").orEmpty(),
            ownerIncarnation = headers.find("x-owner-incarnation").orEmpty(),
            prompt = prompt,
            promptTokens = promptTokens,
            maximumTokens = body["max_tokens"].asLong(),
            resumeFrom = body["resume_from"].asLong(),
            priority = body["priority"].asInt(),
            arrivedAtMillis = now(),
            exchange = exchange,
            stream = exchange.stream(
                status = 200,
                contentType = "text/event-stream",
                headers = HttpHeaderList().with(name = "x-incarnation", value = batch.incarnation),
            ),
        )
        if (options.instant) {
            task.emit(task.maximumTokens - task.generated)
            task.finish()
        } else {
            task.prefilled = cache.use(prompt = prompt, promptTokens = promptTokens, nowMillis = now())
            batch.add(task = task, nowMillis = now())
        }
    }

    private fun list(exchange: HttpExchange) {
        val message = StandInServer.mapper.createObjectNode()
            .put("incarnation", batch.incarnation)
            .put("capacity_tokens", options.memoryTokens)
            .put("leaving", batch.faults.leaving)
        val rows = message.putArray("requests")
        batch.list().forEach { task ->
            rows.addObject()
                .put("id", task.id)
                .put("owner", task.owner)
                .put("owner_incarnation", task.ownerIncarnation)
                .put("reserved_tokens", task.promptTokens + task.maximumTokens)
        }
        exchange.respond(StandInServer.json(status = 200, value = message))
    }

    private fun cancel(exchange: HttpExchange) {
        val id = exchange.request.path.removePrefix("/v1/requests/").removeSuffix("/cancel")
        val found = !batch.faults.loseCancels && batch.cancel(id)
        exchange.respond(StandInServer.json(status = if (found) OK else NOT_FOUND, value = mapOf("cancelled" to found)))
    }

    private fun events(exchange: HttpExchange) {
        val from = exchange.request.query["from"]?.toLongOrNull() ?: 1
        val events = cache.events(from = from, nowMillis = now())
        exchange.respond(StandInServer.json(status = 200, value = mapOf("events" to events)))
    }

    private fun export(exchange: HttpExchange) {
        val key = cache.key(StandInServer.body(exchange)["prompt"].asText())
        val tokens = cache.tokens(key)
        if (tokens == null) {
            refuse(exchange = exchange, status = NOT_FOUND, text = "no such prefix")
        } else {
            exchange.respond(StandInServer.json(status = 200, value = KvBlock(key = key, tokens = tokens)))
        }
    }

    private fun import(exchange: HttpExchange) {
        if (isStale(exchange)) {
            refuse(exchange = exchange, status = STALE, text = "old fencing number")
            return
        }
        val block = StandInServer.mapper.treeToValue(StandInServer.body(exchange), KvBlock::class.java)
        cache.put(key = block.key, tokens = block.tokens, nowMillis = now())
        exchange.respond(StandInServer.json(status = 200, value = block))
    }

    private fun order(exchange: HttpExchange) {
        if (isStale(exchange)) {
            refuse(exchange = exchange, status = STALE, text = "old fencing number")
        } else {
            batch.restart(now())
            exchange.respond(StandInServer.json(status = 200, value = StandInServer.body(exchange)))
        }
    }

    private fun isStale(exchange: HttpExchange): Boolean {
        val fence = exchange.request.headers.find("x-fencing-number")?.toLongOrNull() ?: 0
        val highest = highestFence.accumulateAndGet(fence) { first, second -> maxOf(first, second) }
        val stale = options.checksFencing && fence < highest
        if (stale) batch.noteStaleOrder()
        return stale
    }

    private fun refuse(exchange: HttpExchange, status: Int, text: String) {
        val headers = HttpHeaderList().with(name = "x-incarnation", value = batch.incarnation)
        exchange.respond(StandInServer.json(status = status, value = mapOf("error" to text), headers = headers))
    }

    private fun now(): Long = System.currentTimeMillis()

    private data class KvBlock(
        val key: String,
        val tokens: Long,
    )

    private data class EngineReport(
        val incarnation: String,
        val cold: Boolean,
        val heldTokens: Long,
        val running: Int,
    )
}

private const val OK = 200
private const val NOT_FOUND = 404
private const val STALE = 412
private const val CHARACTERS_PER_TOKEN = 4
