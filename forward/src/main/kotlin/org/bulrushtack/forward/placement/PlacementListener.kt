package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.PlacementDecision

/** Hears what becomes of a request for a place: nothing or [PlacementDecision.Waiting] first, then a final decision. */
internal fun interface PlacementListener {
    fun onDecision(decision: PlacementDecision)
}
