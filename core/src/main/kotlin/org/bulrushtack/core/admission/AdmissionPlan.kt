package org.bulrushtack.core.admission

/**
 * Which waiting requests of one service go first, and which are refused.
 *
 * @property inTime those that are expected to meet their objectives, the first one first
 * @property late those that can't meet their objectives beside the others, but may be placed where they harm none
 * @property refused those that can't be placed before they have to be given up
 * @property isShort whether some request that could be in time on idle engines is not
 */
internal data class AdmissionPlan(
    val inTime: List<PlannedRequest>,
    val late: List<PlannedRequest>,
    val refused: List<PlannedRequest>,
    val isShort: Boolean,
)
