package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementReport

/** The placement of one request, from the request for it until its release. */
internal interface PlacementSession {
    /** Requests the placement; the listener may be called before this returns. */
    fun start()

    /** Withdraws the request, whether it has been placed or not. */
    fun cancel()

    /** Releases the placement and reports its outcome. */
    fun release(report: PlacementReport)

    /** Receives the final decision. */
    fun interface Listener {
        fun onDecision(decision: PlacementDecision)
    }
}
