package org.bulrushtack.standin.engine

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.standin.StandInServer

/** The engine's interface to its KV cache: late events, export and import. */
internal class CacheRoutes(
    private val cache: PrefixCache,
    private val fence: FenceCheck,
    private val now: () -> Long,
) {
    /** Adds the routes to [server]. */
    fun addTo(server: StandInServer) {
        server.route("GET", "/v1/cache/events") { events(it) }
        server.route("POST", "/v1/kv/export") { export(it) }
        server.route("POST", "/v1/kv/import") { import(it) }
    }

    private fun events(exchange: HttpExchange) {
        val from = exchange.request.query["from"]?.toLongOrNull() ?: 1
        val events = cache.events(from = from, nowMillis = now())
        exchange.respond(StandInServer.json(status = 200, value = mapOf("events" to events)))
    }

    private fun export(exchange: HttpExchange) {
        val key = cache.key(StandInServer.body(exchange)["prompt"].asText())
        val response = cache.tokens(key)
            ?.let { StandInServer.json(status = 200, value = KvBlock(key = key, tokens = it)) }
            ?: HttpMessageResponse(status = 404)
        exchange.respond(response)
    }

    private fun import(exchange: HttpExchange) {
        if (fence.isStale(exchange.request)) {
            exchange.respond(HttpMessageResponse(status = 412))
            return
        }
        val block = StandInServer.mapper.treeToValue(StandInServer.body(exchange), KvBlock::class.java)
        cache.put(key = block.key, tokens = block.tokens, nowMillis = now())
        exchange.respond(StandInServer.json(status = 200, value = block))
    }

    private data class KvBlock(
        val key: String,
        val tokens: Long,
    )
}
