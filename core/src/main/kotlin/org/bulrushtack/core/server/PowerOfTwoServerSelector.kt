package org.bulrushtack.core.server

import org.bulrushtack.core.control.Blackboard
import kotlin.random.Random

/**
 * Selects the less loaded of two random servers. Loads come from the heartbeats of the owners, and from this daemon's
 * ledgers for servers that it owns; both are corrected by the attempts that this daemon has in flight.
 */
internal class PowerOfTwoServerSelector(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val random: Random,
) : ServerSelector {
    override fun select(criteria: ServerSelectionCriteria, nowMillis: Long): BackendServer? {
        val available = criteria.candidates
            .filter { isAvailable(server = it, criteria = criteria, nowMillis = nowMillis) }
        val untried = available.filter { it.name !in criteria.avoid }
        val pool = untried.ifEmpty { available }
        if (pool.isEmpty()) return null
        val first = pool.random(random)
        val second = pool.random(random)
        return listOf(first, second).minByOrNull { score(server = it, criteria = criteria) }
    }

    private fun isAvailable(server: BackendServer, criteria: ServerSelectionCriteria, nowMillis: Long): Boolean {
        val capacity = directory.capacityTokens(server.name)
        val fits = capacity == null || criteria.reservedTokens <= capacity
        return fits && directory.acceptsNewWork(server) && directory.owners.currentOwner(server, nowMillis) != null
    }

    private fun score(server: BackendServer, criteria: ServerSelectionCriteria): Double {
        val ledger = blackboard.ledgers.find(server.name)?.takeIf { it.open }
        val reported = blackboard.members.loads[server.name]?.load
        val running = ledger?.let { it.running.size + it.foreignRequests.size } ?: reported?.running ?: 0
        val queuedMillis =
            ledger?.let { open -> open.queue.sumOf { it.expectedMillis } } ?: reported?.queuedWorkMillis ?: 0
        val freeTokens = ledger?.let { it.capacityTokens - it.heldTokens() } ?: reported?.freeTokens ?: 0
        val inFlight = blackboard.requests.inFlight[server.name] ?: 0
        val memoryPenalty = if (server.isEngine && criteria.reservedTokens > freeTokens) MEMORY_PENALTY else 0.0
        val distancePenalty = if (server.vm.dataCentre == blackboard.identity.dataCentre) 0.0 else DISTANCE_PENALTY
        val utilization = maxOf(running, inFlight).toDouble() / server.settings.warmConcurrency
        return utilization + queuedMillis / QUEUE_SCALE_MILLIS + memoryPenalty + distancePenalty
    }
}

private const val MEMORY_PENALTY = 2.0
private const val DISTANCE_PENALTY = 0.05
private const val QUEUE_SCALE_MILLIS = 10_000.0
