package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.PlacementDecision

/** Receives the decisions on a placement request: at most one [PlacementDecision.Waiting], then a final one. */
internal fun interface PlacementListener {
    fun onDecision(decision: PlacementDecision)
}
