package org.bulrushtack.forward.duty

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape

/** Counts the work that callers bring to this daemon. */
internal interface DemandRecorder {
    /** Records a caller's request for [service]; its further sends do not count. */
    fun recordArrival(service: String, shape: PromptShape, tokenGapMillis: Long)

    /** Records that [request] waits for a placement. */
    fun startWaiting(request: PlacementRequest)

    /** Records that the request called [placementId] no longer waits for a placement. */
    fun stopWaiting(placementId: String)
}
