package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.PlacementDecision

/**
 * The result of a review of one service.
 *
 * @property decisions the final decisions that placing led to
 * @property refused the requests that can't be placed before they have to be given up
 */
internal data class AdmissionReview(
    val decisions: List<PlacementDecision>,
    val refused: List<PlannedRequest>,
)
