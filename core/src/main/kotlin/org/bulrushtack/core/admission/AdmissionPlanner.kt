package org.bulrushtack.core.admission

import org.bulrushtack.core.route.EngineProfile

/** Chooses among all requests that wait for one service, with the figures in [statistics]. */
internal class AdmissionPlanner(
    private val statistics: AdmissionStatistics,
    private val profile: EngineProfile,
) {
    /**
     * Plans [waiting] on [engines], which gives a new list at each call. While all can be in time, the order is by
     * priority and latest start. Otherwise those go first within a priority whose loss would cost callers most for the
     * engine time that they need.
     */
    fun plan(waiting: List<QueuedRequest>, engines: () -> List<EngineTimeline>, nowMillis: Long): AdmissionPlan {
        val all = waiting.map { it to statistics.rank(it.request, it.workMillis, it.latestStartMillis) }
        val (ranked, late) = all.partition { (queued, rank) ->
            rank.neglected || queued.exceedsObjective || queued.lastStartMillis >= nowMillis
        }
        val attempt = Attempt(engines(), nowMillis)
        attempt.reserve(ranked.map { (queued, rank) -> queued to rank.withoutValue() })
        val isShort = attempt.deferred.isNotEmpty()
        val chosen = if (isShort) Attempt(engines(), nowMillis).also { it.reserve(ranked) } else attempt
        return chosen.finish(late.sortedBy { it.second }, isShort)
    }

    private inner class Attempt(
        private val engines: List<EngineTimeline>,
        private val nowMillis: Long,
    ) {
        private val room = RoomPlan(engines, profile, nowMillis)
        private val inTime = mutableListOf<PlannedRequest>()
        val deferred = mutableListOf<Pair<QueuedRequest, AdmissionRank>>()

        fun reserve(ranked: List<Pair<QueuedRequest, AdmissionRank>>) =
            ranked.sortedBy { it.second }.forEach { (queued, rank) ->
                val reserved =
                    if (rank.neglected || queued.exceedsObjective) {
                        room.reserveAnyTime(queued.request)
                    } else {
                        room.reserveInTime(queued.request)
                    }
                if (reserved == null) {
                    deferred.add(queued to rank)
                } else {
                    inTime.add(PlannedRequest(queued, rank, reserved.serverIds, reserved.startMillis))
                }
            }

        fun finish(late: List<Pair<QueuedRequest, AdmissionRank>>, isShort: Boolean): AdmissionPlan {
            // What can't be in time now can only be late, and goes behind the arrivals that still can be.
            val beside = deferred.map { (queued, rank) ->
                behind(queued, rank, statistics.arrivals.enginesBefore(rank.priority + 1, nowMillis))
            } + late.map { (queued, rank) ->
                behind(queued, rank, statistics.arrivals.engines(nowMillis))
            }
            val (refused, waiting) = beside.partition {
                nowMillis + it.roomInMillis > it.queued.request.giveUpAtMillis
            }
            return AdmissionPlan(inTime = inTime, late = waiting, refused = refused, isShort = isShort)
        }

        /** A request that goes behind those planned so far, and behind arrivals that keep [busyEngines] busy. */
        private fun behind(queued: QueuedRequest, rank: AdmissionRank, busyEngines: Double): PlannedRequest {
            val startMillis = room.reserveSoonest(queued.request)?.startMillis ?: Double.POSITIVE_INFINITY
            // A request that failed on a server has cost its caller time already, so only the plan itself counts.
            val busyShare = if (queued.request.excluded.isEmpty()) busyEngines / maxOf(1, engines.size) else 0.0
            val left = maxOf(MINIMUM_SHARE_LEFT, 1 - busyShare)
            return PlannedRequest(queued, rank, engines = emptyList(), roomInMillis = startMillis / left)
        }
    }
}

/** Bounds the expected wait when arrivals alone fill all engines for a moment. */
private const val MINIMUM_SHARE_LEFT = 0.02
