package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.Resident

/** The placements that this daemon uses, whoever decided on them. Others learn of them from this account. */
internal class PlacementAccount {
    private val byPlacement = HashMap<String, List<Resident>>()

    /** Everything that is in use. */
    val residents: List<Resident> get() = byPlacement.values.flatten()

    /** Notes a placement that is in use. */
    fun hold(placementId: String, residents: List<Resident>) {
        byPlacement[placementId] = residents
    }

    /** Notes the end of a placement. */
    fun drop(placementId: String) {
        byPlacement.remove(placementId)
    }
}
