package org.bulrushtack.standin.engine

import com.fasterxml.jackson.databind.JsonNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.standin.LaggingReport
import org.bulrushtack.standin.ListenOptions
import org.bulrushtack.standin.StandIn
import org.bulrushtack.standin.StandInRouter
import org.bulrushtack.standin.StandInTimer
import java.util.concurrent.TimeUnit

/** Simulates a model engine. */
class EngineStandIn(
    private val options: EngineOptions,
) {
    private val cache = PrefixCache(capacityTokens = options.cacheTokens, eventLagMillis = options.eventLagMillis)
    private val batch = EngineBatch(options = options, onCrash = cache::clear)
    private val reports = LaggingReport(lagMillis = options.reportLagMillis)
    private val fencing = FencingCheck(enabled = options.checksFencing)
    private val timer = StandInTimer.create(name = "engine")

    /** Starts its ports and its batch. */
    fun start(listen: ListenOptions): StandIn {
        batch.restart(now())
        val step = {
            batch.step(now())
            reports.record(report = report(), nowMillis = now())
        }
        timer.scheduleAtFixedRate(step, options.stepMillis, options.stepMillis, TimeUnit.MILLISECONDS)
        val control = EngineControl(batch = batch, cache = cache, fencing = fencing, now = ::now)
        return StandIn.start(options = listen, service = serviceRoutes(), control = control.routes())
    }

    private fun serviceRoutes(): StandInRouter = StandInRouter().apply {
        route("POST", "/v1/completions") { complete(it) }
        route("GET", "/v1/requests") { list(it) }
        route("POST", "/v1/requests/") { cancel(it) }
        route("GET", "/v1/load") { exchange ->
            exchange.respond(StandInRouter.json(status = 200, value = reports.visibleReport(now()) ?: report()))
        }
        route("POST", "/v1/orders") { executeOrder(it) }
        CacheRoutes(cache = cache, fencing = fencing, now = ::now).addTo(this)
    }

    private fun report(): EngineReport = EngineReport(
        incarnation = batch.incarnation,
        cold = batch.isCold(now()),
        heldTokens = batch.stats.heldTokens,
        running = batch.stats.running,
    )

    private fun complete(exchange: HttpExchange) {
        val body = StandInRouter.body(exchange)
        when {
            body["model"].asText() != options.model ->
                exchange.respond(HttpMessageResponse(status = 404, headers = headers()))
            fencing.isStale(exchange.request) ->
                exchange.respond(HttpMessageResponse(status = 412, headers = headers()))
            else -> accept(exchange = exchange, body = body)
        }
    }

    private fun accept(exchange: HttpExchange, body: JsonNode) {
        val task = EngineTask.create(
            exchange = exchange,
            body = body,
            stream = exchange.stream(status = 200, contentType = "text/event-stream", headers = headers()),
            nowMillis = now(),
        )
        if (options.instant) {
            task.emit(task.maximumTokens - task.generatedTokens)
            task.finish()
        } else {
            task.prefilledTokens = cache.lookUpAndStore(
                prompt = task.prompt,
                promptTokens = task.promptTokens,
                nowMillis = now(),
            )
            batch.add(task = task, nowMillis = now())
        }
    }

    private fun list(exchange: HttpExchange) {
        val message = StandInRouter.mapper.createObjectNode()
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
        exchange.respond(StandInRouter.json(status = 200, value = message))
    }

    private fun cancel(exchange: HttpExchange) {
        val id = exchange.request.path.removePrefix("/v1/requests/").removeSuffix("/cancel")
        val found = !batch.faults.loseCancels && batch.cancel(id)
        exchange.respond(StandInRouter.json(status = 200, value = mapOf("cancelled" to found)))
    }

    /** Restarts the engine, as loading a model, an adapter or a version or changing its role does. */
    private fun executeOrder(exchange: HttpExchange) {
        if (fencing.isStale(exchange.request)) {
            exchange.respond(HttpMessageResponse(status = 412, headers = headers()))
        } else {
            batch.restart(now())
            exchange.respond(StandInRouter.json(status = 200, value = StandInRouter.body(exchange)))
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
