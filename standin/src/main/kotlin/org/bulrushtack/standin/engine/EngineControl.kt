package org.bulrushtack.standin.engine

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.standin.StandInServer

/** Switches an engine's faults and tells what happened to it. */
internal class EngineControl(
    private val batch: EngineBatch,
    private val cache: PrefixCache,
    private val fence: FenceCheck,
    private val now: () -> Long,
) {
    /** The routes of the control port. */
    fun routes(): StandInServer = StandInServer().apply {
        route("POST", "/control/faults") { exchange ->
            batch.faults = StandInServer.mapper.treeToValue(StandInServer.body(exchange), EngineFaults::class.java)
            exchange.respond(StandInServer.json(status = 200, value = batch.faults))
        }
        route("POST", "/control/restart") { exchange ->
            batch.restart(now())
            cache.clear()
            stats(exchange)
        }
        route("POST", "/control/cool-down") { exchange ->
            batch.coolDown(now())
            stats(exchange)
        }
        route("GET", "/control/stats") { stats(it) }
    }

    private fun stats(exchange: HttpExchange) {
        val stats = batch.stats.copy(staleOrders = fence.refusals)
        exchange.respond(StandInServer.json(status = 200, value = stats))
    }
}
