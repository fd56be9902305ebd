package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementReport

/** One request's search for a place, and the place that it found. */
internal interface PlaceSearch {
    /** Starts to look; the decision may come before this returns. */
    fun begin()

    /** Takes the request back, whether it has a place or not. */
    fun cancel()

    /** Frees the place that was found. */
    fun release(report: PlacementReport)

    /** Hears of the final decision. */
    fun interface Listener {
        fun onFound(decision: PlacementDecision)
    }
}
