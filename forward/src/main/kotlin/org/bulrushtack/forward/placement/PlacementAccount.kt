package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.EngineAllocation

/** The placements that this daemon uses, whoever decided on them. Others learn of them from this account. */
internal class PlacementAccount {
    private val byPlacement = HashMap<String, List<EngineAllocation>>()

    /** Everything that is in use. */
    val residents: List<EngineAllocation> get() = byPlacement.values.flatten()

    /** Notes a placement that is in use. */
    fun hold(placementId: String, residents: List<EngineAllocation>) {
        byPlacement[placementId] = residents
    }

    /** Notes the end of a placement. */
    fun drop(placementId: String) {
        byPlacement.remove(placementId)
    }
}
