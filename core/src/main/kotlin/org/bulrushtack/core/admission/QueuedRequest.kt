package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.route.EngineProfile

/**
 * A request that waits for a placement.
 *
 * @property latestStartMillis when its prefill has to start for its objective on the usual number of engines
 * @property workMillis the engine time that it needs
 * @property lastStartMillis when its prefill has to start for its objective on as many engines as can help
 */
internal data class QueuedRequest(
    val request: PlacementRequest,
    val latestStartMillis: Long,
    val workMillis: Double,
    val lastStartMillis: Long = latestStartMillis,
) {
    /** Whether its objective could not be met on idle engines either. */
    val exceedsObjective: Boolean get() = lastStartMillis < request.receivedAtMillis

    companion object {
        /** [waiting] with those first that can still meet their objective, by priority and latest start. */
        fun ordered(waiting: List<QueuedRequest>, nowMillis: Long): List<QueuedRequest> = waiting.sortedWith(
            compareBy<QueuedRequest> { it.latestStartMillis < nowMillis }
                .thenBy { it.request.priority }
                .thenBy { it.latestStartMillis },
        )

        /** [request] as it waits for some of [engines] engines with [profile]. */
        fun of(request: PlacementRequest, profile: EngineProfile, engines: Int): QueuedRequest {
            val model = EngineModel(profile)
            val prefillMillis = model.prefillMillis(request.shape.promptTokens)
            val parts = engines.coerceIn(1, USUAL_PARTS)
            val mostParts = engines.coerceIn(1, EngineModel.PART_COUNTS.last())
            return QueuedRequest(
                request = request,
                latestStartMillis = request.objectiveAtMillis - (prefillMillis / parts).toLong(),
                workMillis = EngineTimeModel(profile).millis(request.shape),
                lastStartMillis = request.objectiveAtMillis - (prefillMillis / mostParts).toLong(),
            )
        }
    }
}

/** The usual number of engines that prefill a long prompt; only used to order the queue. */
private const val USUAL_PARTS = 4
