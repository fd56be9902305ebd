package org.bulrushtack.standin.engine

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.standin.StandInRouter

/** The control interface of an engine: fault injection, restarts and statistics. */
internal class EngineControl(
    private val batch: EngineBatch,
    private val cache: PrefixCache,
    private val fencing: FencingCheck,
    private val now: () -> Long,
) {
    /** The routes of the control port. */
    fun routes(): StandInRouter = StandInRouter().apply {
        route("POST", "/control/faults") { exchange ->
            batch.faults = StandInRouter.mapper.treeToValue(StandInRouter.body(exchange), EngineFaults::class.java)
            exchange.respond(StandInRouter.json(status = 200, value = batch.faults))
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
        val stats = batch.stats.copy(staleOrders = fencing.rejections)
        exchange.respond(StandInRouter.json(status = 200, value = stats))
    }
}
