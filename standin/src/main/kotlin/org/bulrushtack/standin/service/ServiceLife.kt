package org.bulrushtack.standin.service

import com.fasterxml.jackson.databind.node.ObjectNode
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.standin.StandInServer
import java.util.concurrent.ConcurrentHashMap

/** What a plain service holds in its present life; one call more than it bears while cold fells it. */
internal class ServiceLife(
    private val options: ServiceOptions,
    private val now: () -> Long,
) {
    private val running = ConcurrentHashMap<String, HttpExchange>()

    @Volatile
    private var startedAtMillis = now()

    /** Distinguishes this life from earlier ones. */
    val incarnation: String get() = "life-$startedAtMillis"

    /** Whether it is in cold start. */
    val isCold: Boolean get() = now() - startedAtMillis < options.coldMillis

    /** Takes a call; says whether the service still stands. */
    fun add(id: String, exchange: HttpExchange): Boolean {
        running[id] = exchange
        val falls = isCold && running.size > options.coldConcurrency
        if (falls) restart()
        return !falls
    }

    /** Ends a call and gives it back, unless it was broken off. */
    fun remove(id: String): HttpExchange? = running.remove(id)

    /** Starts a new life; all calls are broken off. */
    fun restart() {
        startedAtMillis = now()
        running.keys.forEach { running.remove(it)?.abort() }
    }

    /** The list of what it holds. */
    fun list(leaving: Boolean): ObjectNode {
        val message = StandInServer.mapper.createObjectNode()
            .put("incarnation", incarnation)
            .put("capacity_tokens", 0)
            .put("leaving", leaving)
        val rows = message.putArray("requests")
        running.forEach { (id, held) ->
            rows.addObject()
                .put("id", id)
                .put("owner", held.request.headers.find("x-owner").orEmpty())
                .put("owner_incarnation", held.request.headers.find("x-owner-incarnation").orEmpty())
                .put("reserved_tokens", 0)
        }
        return message
    }
}
