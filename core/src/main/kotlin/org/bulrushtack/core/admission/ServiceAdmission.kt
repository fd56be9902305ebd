package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.PlacementConstraints
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.route.EngineProfile

/** Decides which of the requests that wait for one service go first, which leave engines to others, and which end. */
internal class ServiceAdmission {
    private val statistics = AdmissionStatistics()
    private val holds = EngineHolds()

    fun recordArrival(queued: QueuedRequest, nowMillis: Long) =
        statistics.recordArrival(queued.request, queued.workMillis, nowMillis)

    fun recordDecision(request: PlacementRequest, wasServed: Boolean) = statistics.recordDecision(request, wasServed)

    /** What [queued], which has just arrived, must leave to the waiting requests. */
    fun constraints(queued: QueuedRequest): PlacementConstraints {
        val rank = statistics.rank(queued.request, queued.workMillis, queued.latestStartMillis)
        return holds.constraints(rank, allowsLate = false)
    }

    /** Lets [attempt] place the requests in [waiting] in their order; it returns null for those that go on waiting. */
    fun review(
        waiting: List<QueuedRequest>,
        engines: () -> List<EngineTimeline>,
        profile: EngineProfile,
        nowMillis: Long,
        attempt: (QueuedRequest, PlacementConstraints) -> PlacementDecision?,
    ): AdmissionReview {
        val plan = AdmissionPlanner(statistics, profile).plan(waiting, engines, nowMillis)
        holds.reset(plan.isShort)
        val inTime = plan.inTime.mapNotNull { planned ->
            val constraints = holds.constraints(planned.rank, allowsLate = true)
            attempt(planned.queued, constraints).also { if (it == null) holds.add(planned.engines, planned.rank) }
        }
        val allowsLate = inTime.size == plan.inTime.size && !plan.isShort
        val late = plan.late.mapNotNull { planned ->
            attempt(planned.queued, PlacementConstraints(heldEngines = holds.all, allowsLate = allowsLate))
        }
        return AdmissionReview(decisions = inTime + late, refused = plan.refused)
    }
}
