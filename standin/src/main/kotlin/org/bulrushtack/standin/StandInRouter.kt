package org.bulrushtack.standin

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.RequestError

/** Routes requests of a stand-in by method and path; a path that ends in `/` matches all paths below it. */
class StandInRouter : HttpHandler {
    private val routes = mutableListOf<Route>()

    /** Adds a route; the first one that matches a request handles it. */
    fun route(method: String, path: String, handler: (HttpExchange) -> Unit) {
        routes.add(Route(method = method, path = path, handler = handler))
    }

    override fun handle(exchange: HttpExchange) {
        val request = exchange.request
        val route = routes.firstOrNull { it.matches(method = request.method, requestedPath = request.path) }
        if (route == null) exchange.respond(HttpMessageResponse(status = NOT_FOUND)) else route.handler(exchange)
    }

    override fun errorResponse(error: RequestError): HttpMessageResponse = HttpMessageResponse(status = BAD_REQUEST)

    private data class Route(
        val method: String,
        val path: String,
        val handler: (HttpExchange) -> Unit,
    ) {
        fun matches(method: String, requestedPath: String): Boolean =
            method == this.method && if (path.endsWith("/")) requestedPath.startsWith(path) else requestedPath == path
    }

    companion object {
        /** The JSON mapper for all messages of stand-ins. */
        val mapper: ObjectMapper = jacksonObjectMapper()

        /** The body of [exchange] as JSON. */
        fun body(exchange: HttpExchange): JsonNode = mapper.readTree(exchange.request.body)

        /** A response with [value] as its JSON body. */
        fun json(status: Int, value: Any, headers: HttpHeaderList = HttpHeaderList()): HttpMessageResponse =
            HttpMessageResponse(status = status, body = mapper.writeValueAsBytes(value), headers = headers)
    }
}

private const val NOT_FOUND = 404
private const val BAD_REQUEST = 400
