package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.EngineAllocation

/** The placements that this daemon uses, whichever daemon decided them. Peers receive them with each sync. */
internal class ActivePlacements {
    private val byPlacement = HashMap<String, List<EngineAllocation>>()

    /** The engine allocations of all placements in use. */
    val allocations: List<EngineAllocation> get() = byPlacement.values.flatten()

    /** Adds a placement that is in use. */
    fun add(placementId: String, allocations: List<EngineAllocation>) {
        byPlacement[placementId] = allocations
    }

    /** Removes a placement that is no longer in use. */
    fun remove(placementId: String) {
        byPlacement.remove(placementId)
    }
}
