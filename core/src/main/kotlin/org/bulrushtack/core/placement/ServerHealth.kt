package org.bulrushtack.core.placement

/** What the answers of backend servers say about their state; health checks are not asked, since they may be wrong. */
public class ServerHealth {
    private val records = HashMap<String, Record>()

    /** Notes a good answer of [id] that took [slowness] times as long as predicted. */
    private fun succeeded(id: String, slowness: Double) {
        val record = record(id)
        record.failureRate *= 1 - RECOVERY_WEIGHT
        record.failuresInRow = 0
        val bounded = slowness.coerceIn(FASTEST, SLOWEST)
        record.slowness += SLOWNESS_WEIGHT * (bounded - record.slowness)
    }

    /** Notes at [nowMillis] that [id] broke a request off, stayed silent or could not be reached. */
    public fun failed(id: String, nowMillis: Long) {
        val record = record(id)
        record.fail(FAILURE_WEIGHT)
        record.failuresInRow += 1
        val pauseMillis = FIRST_PAUSE_MILLIS shl minOf(record.failuresInRow - 1, MAXIMUM_DOUBLINGS)
        record.avoidUntil(nowMillis + pauseMillis)
    }

    /** Notes at [nowMillis] how a request ended at [id]; its first event took [slowness] times the prediction. */
    public fun note(id: String, outcome: PlacementOutcome, slowness: Double?, nowMillis: Long) {
        when (outcome) {
            PlacementOutcome.SUCCEEDED -> succeeded(id, slowness ?: 1.0)
            PlacementOutcome.FAILED -> failed(id, nowMillis)
            PlacementOutcome.ANSWERED_WITH_FAILURE -> record(id).fail(ANSWERED_FAILURE_WEIGHT)
            PlacementOutcome.REJECTED -> record(id).avoidUntil(nowMillis + REJECTED_PAUSE_MILLIS)
            PlacementOutcome.ABANDONED -> Unit
        }
    }

    /** Notes that [id] gets a request at [nowMillis]; one that has just failed gets no other for a while. */
    public fun used(id: String, nowMillis: Long) {
        val record = records[id] ?: return
        if (record.failuresInRow > 0) record.avoidUntilMillis = nowMillis + TRIAL_MILLIS
    }

    /** Whether [id] should get nothing at [nowMillis] while others can. */
    public fun isAvoided(id: String, nowMillis: Long): Boolean = (records[id]?.avoidUntilMillis ?: 0) > nowMillis

    /** The recent share of failed answers of [id], from 0 to 1. */
    public fun failureRate(id: String): Double = records[id]?.failureRate ?: 0.0

    /** How many times slower than predicted [id] has been of late. */
    public fun slowness(id: String): Double = records[id]?.slowness ?: 1.0

    /** Forgets all servers but those in [ids]. */
    public fun retain(ids: Set<String>) {
        records.keys.retainAll(ids)
    }

    private fun record(id: String): Record = records.getOrPut(id) { Record() }

    private class Record {
        var failureRate = 0.0
        var failuresInRow = 0
        var avoidUntilMillis = 0L
        var slowness = 1.0

        fun fail(weight: Double) {
            failureRate += weight * (1 - failureRate)
        }

        fun avoidUntil(millis: Long) {
            avoidUntilMillis = maxOf(avoidUntilMillis, millis)
        }
    }
}

/** Weights of moving averages: a failing server is seen after a few answers and trusted again after about ten. */
private const val FAILURE_WEIGHT = 0.3
private const val ANSWERED_FAILURE_WEIGHT = 0.1
private const val RECOVERY_WEIGHT = 0.15
private const val SLOWNESS_WEIGHT = 0.25

/** Bounds on one observation, so that a single stall does not rule a server out. */
private const val FASTEST = 0.5
private const val SLOWEST = 6.0

/** A crashed server is back within a few seconds: 0.5, 1, 2, 4 s between trials. */
private const val FIRST_PAUSE_MILLIS = 500L
private const val MAXIMUM_DOUBLINGS = 3
private const val TRIAL_MILLIS = 1_000L

/** About the time in which a full engine ends one of its requests. */
private const val REJECTED_PAUSE_MILLIS = 150L
