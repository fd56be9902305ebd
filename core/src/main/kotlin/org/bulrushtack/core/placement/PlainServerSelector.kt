package org.bulrushtack.core.placement

import org.bulrushtack.core.fleet.BackendServerState
import org.bulrushtack.core.route.ServiceProfile
import kotlin.random.Random

/**
 * Chooses a server of a plain service by the requests that this daemon has there, its recent failures and its data
 * centre. Short calls need no account of other daemons' requests.
 */
public class PlainServerSelector(
    private val health: ServerHealth,
    private val coldStartLimiter: ColdStartLimiter,
    private val random: Random,
) {
    private val outstanding = HashMap<String, Int>()

    /** A server among [servers] that is not in [excluded]; null when there is none. */
    public fun choose(
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
        val sound = allowed.filterNot { health.isAvoided(it.entry.id, nowMillis) }.ifEmpty { allowed }
        return sound.minByOrNull { cost(it, dataCentre) }
    }

    /** Notes a send to [id]. */
    public fun sent(id: String, nowMillis: Long) {
        outstanding.merge(id, 1, Int::plus)
        health.used(id, nowMillis)
        coldStartLimiter.sent(id, nowMillis)
    }

    /** Notes the end of a send to [id]. */
    public fun ended(id: String) {
        outstanding.computeIfPresent(id) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private fun cost(server: BackendServerState, dataCentre: String): Double {
        val entry = server.entry
        val load = (outstanding[entry.id] ?: 0).toDouble() / maxOf(1, entry.slots)
        val far = if (entry.dataCentre == dataCentre) 0.0 else FAR_COST
        return load + far + health.failureRate(entry.id) * FAILURE_COST + random.nextDouble() * TIE_COST
    }
}

/** Costs in shares of a server's slots. */
private const val FAR_COST = 0.1
private const val FAILURE_COST = 2.0
private const val TIE_COST = 0.02
