package org.bulrushtack.core.placement

/**
 * What has been placed on each engine and has not ended. The daemon that places work writes it at each decision; it is
 * never behind, unlike the engines' own reports.
 */
public class PlacementLedger {
    private val byServer = HashMap<String, MutableList<EngineAllocation>>()

    /** What the engine called [serverId] holds, in the order of the decisions. */
    public fun residents(serverId: String): List<EngineAllocation> = byServer[serverId].orEmpty()

    /** Adds [residents], which come from one decision or from another daemon's account. */
    public fun add(residents: Collection<EngineAllocation>) {
        residents.forEach { byServer.getOrPut(it.serverId) { mutableListOf() }.add(it) }
    }

    /** Removes a placement from all engines; gives false when it was not there. */
    public fun remove(placementId: String): Boolean = removeIf { it.placementId == placementId }

    /** Removes all that [taker] had placed. */
    public fun removeTaker(taker: String): Boolean = removeIf { it.taker == taker }

    /**
     * Makes the ledger agree with [taker]'s own account. What was placed after [settledBeforeMillis] stays, since the
     * account may have been written before the decision reached the taker.
     */
    public fun reconcile(taker: String, account: List<EngineAllocation>, settledBeforeMillis: Long) {
        val named = account.mapTo(HashSet()) { it.placementId }
        removeIf { it.taker == taker && it.placementId !in named && it.placedAtMillis < settledBeforeMillis }
        val present = byServer.values.flatten().filter { it.taker == taker }.mapTo(HashSet()) { it.placementId }
        add(account.filter { it.placementId !in present })
    }

    /** How many requests write on the engine called [serverId]. */
    public fun writers(serverId: String): Int = residents(serverId).count { it.writes }

    private fun removeIf(condition: (EngineAllocation) -> Boolean): Boolean {
        var removed = false
        byServer.values.forEach { list -> removed = list.removeIf(condition) || removed }
        byServer.values.removeIf { it.isEmpty() }
        return removed
    }
}
