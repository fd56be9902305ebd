package org.bulrushtack.core.server

import org.bulrushtack.core.control.Blackboard
import kotlin.random.Random

/**
 * The less loaded of two random servers. Loads are the owners' words in heartbeats, and this daemon's own ledger
 * for servers that it owns; both are corrected by the attempts that this daemon has under way.
 */
internal class PowerOfTwoServerSelector(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val random: Random,
) : ServerSelector {
    override fun select(criteria: ServerSelectionCriteria, nowMillis: Long): BackendServer? {
        val open = criteria.candidates.filter { isOpen(server = it, criteria = criteria, nowMillis = nowMillis) }
        val fresh = open.filter { it.name !in criteria.avoid }
        val pool = fresh.ifEmpty { open }
        if (pool.isEmpty()) return null
        val first = pool.random(random)
        val second = pool.random(random)
        return listOf(first, second).minByOrNull { score(server = it, criteria = criteria) }
    }

    private fun isOpen(server: BackendServer, criteria: ServerSelectionCriteria, nowMillis: Long): Boolean {
        val capacity = directory.capacityTokens(server.name)
        val fits = capacity == null || criteria.reservedTokens <= capacity
        return fits && directory.acceptsNewWork(server) && directory.owners.currentOwner(server, nowMillis) != null
    }

    private fun score(server: BackendServer, criteria: ServerSelectionCriteria): Double {
        val own = blackboard.ledgers.find(server.name)?.takeIf { it.open }
        val load = blackboard.members.loads[server.name]?.load
        val running = own?.let { it.running.size + it.foreignRequests.size } ?: load?.running ?: 0
        val queued = own?.let { ledger -> ledger.queue.sumOf { it.expectedMillis } } ?: load?.queuedWorkMillis ?: 0
        val free = own?.let { it.capacityTokens - it.heldTokens() } ?: load?.freeTokens ?: 0
        val inFlight = blackboard.requests.inFlight[server.name] ?: 0
        val crowding = if (server.isEngine && criteria.reservedTokens > free) MEMORY_PENALTY else 0.0
        val distance = if (server.vm.dataCentre == blackboard.identity.dataCentre) 0.0 else DISTANCE_PENALTY
        val busy = maxOf(running, inFlight).toDouble() / server.settings.warmConcurrency
        return busy + queued / QUEUE_SCALE_MILLIS + crowding + distance
    }
}

private const val MEMORY_PENALTY = 2.0
private const val DISTANCE_PENALTY = 0.05
private const val QUEUE_SCALE_MILLIS = 10_000.0
