package org.bulrushtack.standin.engine

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.standin.StandInRouter

/** The HTTP routes for the engine's KV cache: delayed events, export and import. */
internal class CacheRoutes(
    private val cache: PrefixCache,
    private val fencing: FencingCheck,
    private val now: () -> Long,
) {
    /** Adds the routes to [router]. */
    fun addTo(router: StandInRouter) {
        router.route("GET", "/v1/cache/events") { events(it) }
        router.route("POST", "/v1/kv/export") { export(it) }
        router.route("POST", "/v1/kv/import") { import(it) }
    }

    private fun events(exchange: HttpExchange) {
        val from = exchange.request.query["from"]?.toLongOrNull() ?: 1
        val events = cache.visibleEvents(from = from, nowMillis = now())
        exchange.respond(StandInRouter.json(status = 200, value = mapOf("events" to events)))
    }

    private fun export(exchange: HttpExchange) {
        val key = cache.key(StandInRouter.body(exchange)["prompt"].asText())
        val response = cache.tokens(key)
            ?.let { StandInRouter.json(status = 200, value = KvBlock(key = key, tokens = it)) }
            ?: HttpMessageResponse(status = 404)
        exchange.respond(response)
    }

    private fun import(exchange: HttpExchange) {
        if (fencing.isStale(exchange.request)) {
            exchange.respond(HttpMessageResponse(status = 412))
            return
        }
        val block = StandInRouter.mapper.treeToValue(StandInRouter.body(exchange), KvBlock::class.java)
        cache.put(key = block.key, tokens = block.tokens, nowMillis = now())
        exchange.respond(StandInRouter.json(status = 200, value = block))
    }

    private data class KvBlock(
        val key: String,
        val tokens: Long,
    )
}
