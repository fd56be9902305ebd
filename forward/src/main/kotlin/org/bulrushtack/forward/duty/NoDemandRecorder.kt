package org.bulrushtack.forward.duty

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape

/** Counts nothing, where no servers are ordered. */
internal object NoDemandRecorder : DemandRecorder {
    override fun recordArrival(service: String, shape: PromptShape, tokenGapMillis: Long) = Unit

    override fun startWaiting(request: PlacementRequest) = Unit

    override fun stopWaiting(placementId: String) = Unit
}
