package org.bulrushtack.core.placement

import org.bulrushtack.core.fleet.BackendServerState
import kotlin.random.Random

/**
 * Selects a server of a plain service by this daemon's calls in flight there and its data centre. A server that is
 * fuller, slower or failing more than the others of its service is considered for a smaller share of the calls, drawn
 * at random, so that daemons that know the same do not all choose the same server.
 *
 * @param loads the calls of all daemons; while they are unknown, only this daemon's own calls and answers count
 */
public class PlainServerSelector(
    private val health: ServerHealth,
    private val coldStartLimiter: ColdStartLimiter,
    private val random: Random,
    private val loads: PlainLoads = PlainLoads(),
) {
    private val inFlightCounts = HashMap<String, Int>()
    private val rejectedAtMillis = HashMap<String, Long>()
    private val failures = FailureComparison()
    private val responseTimes = ResponseTimes()

    /** This daemon's calls in flight by server id. */
    public val inFlight: Map<String, Int> get() = inFlightCounts

    /** Selects one of [servers] for [call]; null if there is none that may get it. */
    public fun select(servers: List<BackendServerState>, call: PlainCall, nowMillis: Long): BackendServerState? {
        val coldPerSecond = call.service.coldPerSecond
        val allowed = servers.filter { server ->
            val cold = server.coldUntilMillis > nowMillis && coldPerSecond > 0
            server.entry.id !in call.excluded &&
                (!cold || coldStartLimiter.allows(server.entry.id, coldPerSecond, nowMillis))
        }
        val healthy = allowed.filterNot { health.isAvoided(it.entry.id, nowMillis) }.ifEmpty { allowed }
        val loads = healthy.map { load(it, nowMillis) }.sorted()
        val ids = servers.map { it.entry.id }
        val considered = healthy.filter { server ->
            val share = minOf(shareByLoad(load(server, nowMillis), loads), shareBySpeed(server, call, ids))
            random.nextDouble() < share * shareByFailures(server, call, ids, nowMillis)
        }
        return considered.ifEmpty { healthy }.minByOrNull { cost(it, call.dataCentre) }
    }

    /** Whether [id] has turned away a call of this daemon a moment ago. */
    public fun isRejecting(id: String, nowMillis: Long): Boolean =
        rejectedAtMillis[id].let { it != null && nowMillis - it < REJECTING_MILLIS }

    /** Records a send to [id]. */
    public fun recordSend(id: String, nowMillis: Long) {
        inFlightCounts.merge(id, 1, Int::plus)
        health.recordSend(id, nowMillis)
        coldStartLimiter.recordSend(id, nowMillis)
    }

    /** Records the [outcome] of a call of [kind] at [id], [tookMillis] after it was sent. */
    public fun recordCompletion(
        id: String,
        kind: String,
        outcome: PlacementOutcome,
        tookMillis: Long,
        nowMillis: Long,
    ) {
        inFlightCounts.computeIfPresent(id) { _, count -> (count - 1).takeIf { it > 0 } }
        health.recordOutcome(id = id, outcome = outcome, slowness = null, nowMillis = nowMillis)
        when (outcome) {
            PlacementOutcome.SUCCEEDED -> {
                failures.record(id, kind, failed = false, nowMillis = nowMillis)
                responseTimes.record(id, kind, tookMillis)
            }
            PlacementOutcome.FAILED, PlacementOutcome.ANSWERED_WITH_FAILURE ->
                failures.record(id, kind, failed = true, nowMillis = nowMillis)
            PlacementOutcome.REJECTED -> {
                rejectedAtMillis.values.removeIf { nowMillis - it >= REJECTING_MILLIS }
                rejectedAtMillis[id] = nowMillis
            }
            PlacementOutcome.ABANDONED -> Unit
        }
    }

    private fun load(server: BackendServerState, nowMillis: Long): Double {
        val isKnown = loads.isFresh(nowMillis)
        return if (isKnown) loads.inFlight(server.entry.id) / maxOf(1, server.entry.slots) else 0.0
    }

    /** Compared with the typical server: one that gets less for another reason must not take from the others. */
    private fun shareByLoad(load: Double, sortedLoads: List<Double>): Double {
        val typicalLoad = sortedLoads[(sortedLoads.size - 1) / 2]
        return (maxOf(SMALLEST_FREE_PART, 1 - load) + LOAD_TOLERANCE) / maxOf(SMALLEST_FREE_PART, 1 - typicalLoad)
    }

    private fun shareBySpeed(server: BackendServerState, call: PlainCall, ids: List<String>): Double =
        SLOWNESS_TOLERANCE / responseTimes.slowness(server.entry.id, call.kind, ids)

    private fun shareByFailures(
        server: BackendServerState,
        call: PlainCall,
        ids: List<String>,
        nowMillis: Long,
    ): Double {
        val excess = failures.excess(server.entry.id, call.kind, others = ids, nowMillis = nowMillis)
        return maxOf(SMALLEST_SHARE, 1 - excess * FAILURE_FACTOR)
    }

    private fun cost(server: BackendServerState, dataCentre: String): Double {
        val entry = server.entry
        val own = (inFlightCounts[entry.id] ?: 0).toDouble() / maxOf(1, entry.slots)
        val remote = if (entry.dataCentre == dataCentre) 0.0 else REMOTE_COST
        return own + remote + random.nextDouble() * TIE_COST
    }
}

/** Costs as shares of a server's slots. */
private const val REMOTE_COST = 0.1
private const val TIE_COST = 0.02

/** Average loads of equal servers differ by this part of their slots. */
private const val LOAD_TOLERANCE = 0.2
private const val SMALLEST_FREE_PART = 0.05

/** Average response times of equal servers differ by about this factor when calls take 15 to 60 ms. */
private const val SLOWNESS_TOLERANCE = 1.3

/** A server that fails half more of its calls than the others is hardly used, but its recovery is still noticed. */
private const val FAILURE_FACTOR = 2.0
private const val SMALLEST_SHARE = 0.05

/** About the time in which a full server completes a few calls. */
private const val REJECTING_MILLIS = 150L
