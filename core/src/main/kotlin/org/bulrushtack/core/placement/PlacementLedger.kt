package org.bulrushtack.core.placement

/**
 * The allocations of each engine that have not been released. The placement leader updates it at each decision, so it
 * never lags behind as the engines' own reports do.
 */
public class PlacementLedger {
    private val byServer = HashMap<String, MutableList<EngineAllocation>>()

    /** The allocations of the engine called [serverId], in the order of the decisions. */
    public fun allocations(serverId: String): List<EngineAllocation> = byServer[serverId].orEmpty()

    /** The slowness with which the placement called [placementId] was predicted on [serverId]. */
    public fun assumedSlowness(placementId: String, serverId: String): Double =
        allocations(serverId).firstOrNull { it.placementId == placementId }?.assumedSlowness ?: 1.0

    /** Adds [allocations], which come from one decision or from another daemon's report. */
    public fun add(allocations: Collection<EngineAllocation>) {
        allocations.forEach { byServer.getOrPut(it.serverId) { mutableListOf() }.add(it) }
    }

    /** Removes a placement from all engines; returns false if there was none. */
    public fun remove(placementId: String): Boolean = removeIf { it.placementId == placementId }

    /** Removes all allocations of [ingressDaemon]. */
    public fun removeIngressDaemon(ingressDaemon: String): Boolean = removeIf { it.ingressDaemon == ingressDaemon }

    /**
     * Makes the allocations of [ingressDaemon] match those that it has [reported]. Allocations placed at or after
     * [confirmedBeforeMillis] stay, since the report may have been written before the decision reached that daemon.
     */
    public fun reconcile(ingressDaemon: String, reported: List<EngineAllocation>, confirmedBeforeMillis: Long) {
        val reportedIds = reported.mapTo(HashSet()) { it.placementId }
        removeIf {
            it.ingressDaemon == ingressDaemon &&
                it.placementId !in reportedIds &&
                it.placedAtMillis < confirmedBeforeMillis
        }
        val present = byServer.values
            .flatten()
            .filter { it.ingressDaemon == ingressDaemon }
            .mapTo(HashSet()) { it.placementId }
        add(reported.filter { it.placementId !in present })
    }

    /** The number of requests that decode on the engine called [serverId]. */
    public fun decodingRequests(serverId: String): Int = allocations(serverId).count { it.decodes }

    private fun removeIf(condition: (EngineAllocation) -> Boolean): Boolean {
        var removed = false
        byServer.values.forEach { list -> removed = list.removeIf(condition) || removed }
        byServer.values.removeIf { it.isEmpty() }
        return removed
    }
}
