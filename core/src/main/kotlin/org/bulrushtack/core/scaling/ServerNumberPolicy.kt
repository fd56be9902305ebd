package org.bulrushtack.core.scaling

import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.route.EngineProfile
import kotlin.math.abs
import kotlin.math.ceil

/** Computes the number of servers that a load needs. */
internal class ServerNumberPolicy {
    /**
     * The number for [load]. [largestShare] is the largest share of the servers that stands in one data centre, and
     * [floor] the engines that the longest usual prompt needs at once. The reserve also serves what waits: a long
     * prompt that waits for a moment is no lack of servers.
     */
    fun number(load: LoadView, largestShare: Double, floor: Int): ServerNumber {
        val demand = load.recent.total / UTILIZATION
        val waiting = load.waitingMillis / WAITING_SPREAD_MILLIS
        val reserve = maxOf(burst(load), afterLoss(load, largestShare)) - demand - waiting
        return ServerNumber(
            demand = demand,
            waiting = waiting,
            reserve = maxOf(SPARE_SERVERS, reserve),
            floor = floor,
        )
    }

    /**
     * The engines that one prompt needs at once to reach its first event within [objectiveMillis], if it fills the
     * memory of one engine.
     */
    fun floor(profile: EngineProfile, objectiveMillis: Long): Int {
        val prefillMillis = EngineModel(profile).prefillMillis(profile.memoryTokens)
        val passMillis = profile.stride * profile.stepMillis
        val availableMillis = objectiveMillis * OBJECTIVE_SHARE - PASSES * passMillis
        val engines = if (availableMillis > 0) prefillMillis / availableMillis else MAXIMUM_PARTS
        return if (engines.isFinite()) ceil(engines.coerceIn(1.0, MAXIMUM_PARTS)).toInt() else 1
    }

    /**
     * The engines for the burst to come. While the mix differs from the usual one, a burst is on and its work is in the
     * recent load, so that less is kept for another one.
     */
    private fun burst(load: LoadView): Double {
        val usual = load.usual
        val shorts = usual.short * SHORT_BURST_SHORT + usual.long * SHORT_BURST_LONG
        val longs = usual.short * LONG_BURST_SHORT + usual.long * LONG_BURST_LONG
        val turned = minOf(1.0, abs(longShare(load.recent) - longShare(usual)) / TURNED_MIX)
        val limit = usual.total * (1 + MAXIMUM_BURST * (1 - turned))
        return minOf(maxOf(shorts, longs), limit) / BURST_UTILIZATION
    }

    /** The engines with which the data centres that remain after a loss serve the usual load, though not in time. */
    private fun afterLoss(load: LoadView, largestShare: Double): Double =
        load.usual.total / (1 - largestShare.coerceIn(0.0, MAXIMUM_LOST_SHARE)) / LOSS_UTILIZATION

    private fun longShare(work: EngineWork): Double = if (work.total > 0) work.long / work.total else 0.0
}

/** The trials in docs/design/scaling.md compare these; between 0.9 and 1 they differ by less than the seeds do. */
private const val UTILIZATION = 1.0
private const val BURST_UTILIZATION = 0.95

/** Until servers that were ordered after the loss serve, what is not urgent waits. */
private const val LOSS_UTILIZATION = 1.2

/** Longer than an ordered server takes to boot; with 4 s, each long prompt that waited for a moment ordered servers. */
private const val WAITING_SPREAD_MILLIS = 12_000.0

/** One server may be lost at any time. */
private const val SPARE_SERVERS = 1.0

/** The rates of both kinds of prompts in the two halves of a burst, against the usual ones. */
private const val SHORT_BURST_SHORT = 2.5
private const val SHORT_BURST_LONG = 0.05
private const val LONG_BURST_SHORT = 0.35
private const val LONG_BURST_LONG = 2.8

/** The work of a burst beyond the usual work, as a share of it. */
private const val MAXIMUM_BURST = 0.4

/** The difference between the shares of long work, recent and usual, at which the mix has certainly turned. */
private const val TURNED_MIX = 0.25

/** The remaining data centres are not ordered more than twice the servers for the loss of the largest. */
private const val MAXIMUM_LOST_SHARE = 0.5

/** The prefill of a prompt is split into at most this many parts. */
private const val MAXIMUM_PARTS = 16.0

/** Placement leaves the rest of an objective for errors of its prediction. */
private const val OBJECTIVE_SHARE = 0.95
private const val PASSES = 2.5
