package org.bulrushtack.core.admission

/**
 * What the plan of a service says of one waiting request.
 *
 * @property engines the engines that are kept for it; empty if it can't be in time
 * @property roomInMillis when room for it is expected; infinite if there is none
 */
internal data class PlannedRequest(
    val queued: QueuedRequest,
    val rank: AdmissionRank,
    val engines: List<String>,
    val roomInMillis: Double,
)
