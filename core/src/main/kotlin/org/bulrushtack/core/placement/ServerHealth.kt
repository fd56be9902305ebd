package org.bulrushtack.core.placement

import kotlin.math.pow

/**
 * The health of backend servers, derived from the outcomes of requests; health checks are not used, since they may be
 * wrong.
 */
public class ServerHealth {
    private val statuses = HashMap<String, Status>()

    private fun recordSuccess(id: String, slowness: Double, nowMillis: Long) {
        val status = status(id)
        status.failureRate *= 1 - RECOVERY_WEIGHT
        status.consecutiveFailures = 0
        val current = status.slowness(nowMillis)
        val observed = slowness.coerceIn(MINIMUM_SLOWNESS, MAXIMUM_SLOWNESS)
        status.setSlowness(current + SLOWNESS_WEIGHT * (observed - current), nowMillis)
    }

    /** Records at [nowMillis] that [id] aborted a request, timed out or was unreachable. */
    public fun recordFailure(id: String, nowMillis: Long) {
        val status = status(id)
        status.recordFailure(FAILURE_WEIGHT)
        status.consecutiveFailures += 1
        val backoffMillis = INITIAL_BACKOFF_MILLIS shl minOf(status.consecutiveFailures - 1, MAXIMUM_DOUBLINGS)
        status.avoidUntil(nowMillis + backoffMillis)
    }

    /** Records at [nowMillis] the outcome of a request at [id], with [slowness] as the ratio to its usual time. */
    public fun recordOutcome(id: String, outcome: PlacementOutcome, slowness: Double?, nowMillis: Long) {
        when (outcome) {
            PlacementOutcome.SUCCEEDED -> recordSuccess(id, slowness ?: 1.0, nowMillis)
            PlacementOutcome.FAILED -> recordFailure(id, nowMillis)
            PlacementOutcome.ANSWERED_WITH_FAILURE -> status(id).recordFailure(ANSWERED_FAILURE_WEIGHT)
            PlacementOutcome.REJECTED -> status(id).avoidUntil(nowMillis + REJECTED_BACKOFF_MILLIS)
            PlacementOutcome.ABANDONED -> Unit
        }
    }

    /** Records a send to [id] at [nowMillis]; after a failure it is a probe that blocks further sends for a while. */
    public fun recordSend(id: String, nowMillis: Long) {
        val status = statuses[id] ?: return
        if (status.consecutiveFailures > 0) status.avoidUntilMillis = nowMillis + PROBE_MILLIS
    }

    /** How long from [nowMillis] on [id] should get no requests. */
    public fun avoidedForMillis(id: String, nowMillis: Long): Long =
        maxOf(0, (statuses[id]?.avoidUntilMillis ?: 0) - nowMillis)

    /** Whether [id] should get no requests at [nowMillis] while other servers can. */
    public fun isAvoided(id: String, nowMillis: Long): Boolean = (statuses[id]?.avoidUntilMillis ?: 0) > nowMillis

    /** The recent share of failed answers of [id], from 0 to 1. */
    public fun failureRate(id: String): Double = statuses[id]?.failureRate ?: 0.0

    /** The ratio of measured to usual time of [id] at [nowMillis]; it fades while there are no new measurements. */
    public fun slowness(id: String, nowMillis: Long): Double = statuses[id]?.slowness(nowMillis) ?: 1.0

    /** Removes the history of all servers except those in [ids]. */
    public fun retain(ids: Set<String>) {
        statuses.keys.retainAll(ids)
    }

    private fun status(id: String): Status = statuses.getOrPut(id) { Status() }

    private class Status {
        var failureRate = 0.0
        var consecutiveFailures = 0
        var avoidUntilMillis = 0L
        private var excessSlowness = 0.0
        private var measuredAtMillis = 0L

        fun slowness(nowMillis: Long): Double =
            1 + excessSlowness * HALF.pow((nowMillis - measuredAtMillis).toDouble() / SLOWNESS_HALF_LIFE_MILLIS)

        fun setSlowness(slowness: Double, nowMillis: Long) {
            excessSlowness = slowness - 1
            measuredAtMillis = nowMillis
        }

        fun recordFailure(weight: Double) {
            failureRate += weight * (1 - failureRate)
        }

        fun avoidUntil(millis: Long) {
            avoidUntilMillis = maxOf(avoidUntilMillis, millis)
        }
    }
}

/** Weights of moving averages: a failing server is detected after a few answers and trusted again after about ten. */
private const val FAILURE_WEIGHT = 0.3
private const val ANSWERED_FAILURE_WEIGHT = 0.1
private const val RECOVERY_WEIGHT = 0.15
private const val SLOWNESS_WEIGHT = 0.25

/**
 * Bounds on one measurement. No engine is faster than its published figures: what short prompts save on waiting for a
 * pass would be multiplied into the prefill time of a long one. A single stall does not exclude a server.
 */
private const val MINIMUM_SLOWNESS = 1.0
private const val MAXIMUM_SLOWNESS = 6.0

/** A server that was slow is tried again after some of these. */
private const val SLOWNESS_HALF_LIFE_MILLIS = 5_000.0
private const val HALF = 0.5

/** A crashed server is back within a few seconds: 0.5, 1, 2, 4 s between probes. */
private const val INITIAL_BACKOFF_MILLIS = 500L
private const val MAXIMUM_DOUBLINGS = 3
private const val PROBE_MILLIS = 1_000L

/** About the time that a full engine takes to complete one of its requests. */
private const val REJECTED_BACKOFF_MILLIS = 150L
