package org.bulrushtack.core.placement

import org.bulrushtack.core.fleet.BackendServerState
import org.bulrushtack.core.route.ServiceProfile
import kotlin.random.Random

/**
 * Selects a server of a plain service by this daemon's in-flight requests there, its recent failures and its data
 * centre. Calls are short, so the requests of other daemons need not be counted.
 */
public class PlainServerSelector(
    private val health: ServerHealth,
    private val coldStartLimiter: ColdStartLimiter,
    private val random: Random,
) {
    private val inFlight = HashMap<String, Int>()

    /** Selects one of [servers] that is not in [excluded]; null if there is none. */
    public fun select(
        servers: List<BackendServerState>,
        service: ServiceProfile,
        dataCentre: String,
        excluded: Set<String>,
        nowMillis: Long,
    ): BackendServerState? {
        val allowed = servers.filter { server ->
            val cold = server.coldUntilMillis > nowMillis && service.coldPerSecond > 0
            server.entry.id !in excluded &&
                (!cold || coldStartLimiter.allows(server.entry.id, service.coldPerSecond, nowMillis))
        }
        val healthy = allowed.filterNot { health.isAvoided(it.entry.id, nowMillis) }.ifEmpty { allowed }
        return healthy.minByOrNull { cost(it, dataCentre) }
    }

    /** Records a send to [id]. */
    public fun recordSend(id: String, nowMillis: Long) {
        inFlight.merge(id, 1, Int::plus)
        health.recordSend(id, nowMillis)
        coldStartLimiter.recordSend(id, nowMillis)
    }

    /** Records the completion of a send to [id]. */
    public fun recordCompletion(id: String) {
        inFlight.computeIfPresent(id) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private fun cost(server: BackendServerState, dataCentre: String): Double {
        val entry = server.entry
        val load = (inFlight[entry.id] ?: 0).toDouble() / maxOf(1, entry.slots)
        val remote = if (entry.dataCentre == dataCentre) 0.0 else REMOTE_COST
        return load + remote + health.failureRate(entry.id) * FAILURE_COST + random.nextDouble() * TIE_COST
    }
}

/** Costs as shares of a server's slots. */
private const val REMOTE_COST = 0.1
private const val FAILURE_COST = 2.0
private const val TIE_COST = 0.02
