package org.bulrushtack.standin.engine

import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.standin.LaggingReport
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInServer
import org.bulrushtack.standin.StandInTimer
import java.util.concurrent.TimeUnit

/** Stands in for a model engine. */
class EngineStandIn(
    private val options: EngineOptions,
) {
    private val cache = PrefixCache(capacityTokens = options.cacheTokens, eventLagMillis = options.eventLagMillis)
    private val batch = EngineBatch(options = options, onFall = cache::clear)
    private val reports = LaggingReport(lagMillis = options.reportLagMillis)
    private val fence = FenceCheck(checks = options.checksFencing)
    private val timer = StandInTimer.create(name = "engine")

    /** Opens its ports and starts its batch. */
    fun start(listen: ListenOptions): StandIn {
        batch.restart(now())
        val step = {
            batch.step(now())
            reports.note(report = report(), nowMillis = now())
        }
        timer.scheduleAtFixedRate(step, options.stepMillis, options.stepMillis, TimeUnit.MILLISECONDS)
        val control = EngineControl(batch = batch, cache = cache, fence = fence, now = ::now)
        return StandIn.start(options = listen, service = serviceRoutes(), control = control.routes())
    }

    private fun serviceRoutes(): StandInServer = StandInServer().apply {
        route("POST", "/v1/completions") { complete(it) }
        route("GET", "/v1/requests") { list(it) }
        route("POST", "/v1/requests/") { cancel(it) }
        route("GET", "/v1/load") { exchange ->
            exchange.respond(StandInServer.json(status = 200, value = reports.shown(now()) ?: report()))
        }
        route("POST", "/v1/orders") { order(it) }
        CacheRoutes(cache = cache, fence = fence, now = ::now).addTo(this)
    }

    private fun report(): EngineReport = EngineReport(
        incarnation = batch.incarnation,
        cold = batch.isCold(now()),
        heldTokens = batch.stats.heldTokens,
        running = batch.stats.running,
    )

    private fun complete(exchange: HttpExchange) {
        val body = StandInServer.body(exchange)
        when {
            body["model"].asText() != options.model ->
                exchange.respond(HttpMessageResponse(status = 404, headers = headers()))
            fence.isStale(exchange.request) ->
                exchange.respond(HttpMessageResponse(status = 412, headers = headers()))
            else -> accept(exchange = exchange, body = body)
        }
    }

    private fun accept(exchange: HttpExchange, body: JsonNode) {
        val task = EngineTask.of(
            exchange = exchange,
            body = body,
            stream = exchange.stream(status = 200, contentType = "text/event-stream", headers = headers()),
            nowMillis = now(),
        )
        if (options.instant) {
            task.emit(task.maximumTokens - task.generated)
            task.finish()
        } else {
            task.prefilled = cache.use(prompt = task.prompt, promptTokens = task.promptTokens, nowMillis = now())
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
        exchange.respond(StandInServer.json(status = 200, value = mapOf("cancelled" to found)))
    }

    /** Loading a model, an adapter or a version, or taking another role, starts the engine anew. */
    private fun order(exchange: HttpExchange) {
        if (fence.isStale(exchange.request)) {
            exchange.respond(HttpMessageResponse(status = 412, headers = headers()))
        } else {
            batch.restart(now())
            exchange.respond(StandInServer.json(status = 200, value = StandInServer.body(exchange)))
        }
    }

    private fun headers(): HttpHeaderList = HttpHeaderList().with(name = "x-incarnation", value = batch.incarnation)

    private fun now(): Long = System.currentTimeMillis()

    private data class EngineReport(
        val incarnation: String,
        val cold: Boolean,
        val heldTokens: Long,
        val running: Int,
    )
}
