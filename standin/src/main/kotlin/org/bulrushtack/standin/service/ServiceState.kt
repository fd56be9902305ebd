package org.bulrushtack.standin.service

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.standin.StandInRouter
import java.util.concurrent.ConcurrentHashMap

/** The in-flight calls of a plain service; the service crashes when they exceed its cold-start limit. */
internal class ServiceState(
    private val options: ServiceOptions,
    private val now: () -> Long,
) {
    private val running = ConcurrentHashMap<String, HttpExchange>()

    @Volatile
    private var startedAtMillis = now()

    /** Identifies the current incarnation of the service. */
    val incarnation: String get() = "life-$startedAtMillis"

    /** Whether it is in cold start. */
    val isCold: Boolean get() = now() - startedAtMillis < options.coldMillis

    /** Adds a call; returns false when the service crashed because of it. */
    fun add(id: String, exchange: HttpExchange): Boolean {
        running[id] = exchange
        val crashes = isCold && running.size > options.coldConcurrency
        if (crashes) restart()
        return !crashes
    }

    /** Removes and returns a call, or returns null when it was aborted. */
    fun remove(id: String): HttpExchange? = running.remove(id)

    /** Starts a new incarnation; all calls are aborted. */
    fun restart() {
        startedAtMillis = now()
        running.keys.forEach { running.remove(it)?.abort() }
    }

    /** The list of in-flight calls as JSON. */
    fun list(leaving: Boolean): ObjectNode {
        val message = StandInRouter.mapper.createObjectNode()
            .put("incarnation", incarnation)
            .put("capacity_tokens", 0)
            .put("leaving", leaving)
        val rows = message.putArray("requests")
        running.forEach { (id, exchange) ->
            rows.addObject()
                .put("id", id)
                .put("owner", exchange.request.headers.find("x-owner").orEmpty())
                .put("owner_incarnation", exchange.request.headers.find("x-owner-incarnation").orEmpty())
                .put("reserved_tokens", 0)
        }
        return message
    }
}
