package org.bulrushtack.core.placement

import org.bulrushtack.core.route.EngineProfile
import kotlin.random.Random

/**
 * Searches for the engines of one [request] among [loads].
 *
 * @property allowsLate whether a request that can't meet its objective may take engines
 */
internal class EngineSearch(
    private val request: PlacementRequest,
    loads: List<EngineLoad>,
    private val model: EngineModel,
    private val profile: EngineProfile,
    private val nowMillis: Long,
    private val allowsLate: Boolean = true,
) {
    private val loads = if (request.spread) loads.shuffled(Random(request.id.hashCode())) else loads
    private val neededTokens = request.shape.promptTokens + request.shape.maximumAnswerTokens
    private val wholePrefillMillis = model.prefillMillis(request.shape.promptTokens)
    private val budgetMillis = (request.objectiveAtMillis - nowMillis) * BUDGET_SHARE

    /**
     * Finds the fewest engines that meet the objective. If no engines can meet it any more, finds the fastest ones, as
     * long as they are nearly idle: a request that is late anyway should not make others late.
     */
    fun findPlacement(): Placement? {
        val candidates = EngineModel.PART_COUNTS.asSequence()
            .filter { it == 1 || wholePrefillMillis / it >= EngineModel.MINIMUM_PART_MILLIS }
            .mapNotNull { candidate(it) }
        val inTime = candidates.firstOrNull { it.timeToFirstTokenMillis <= budgetMillis }
        return inTime ?: if (allowsLate && budgetMillis < fastestMillis()) latePlacement(candidates) else null
    }

    private fun latePlacement(candidates: Sequence<Placement>): Placement? {
        val fastest = candidates.minByOrNull { it.timeToFirstTokenMillis } ?: return null
        val objectiveMillis = request.objectiveAtMillis - request.receivedAtMillis
        val limitMillis = maxOf(objectiveMillis * LATE_SHARE, fastestMillis() * FASTEST_FACTOR)
        val isLastChance = nowMillis >= request.giveUpAtMillis - LAST_CHANCE_MILLIS
        return fastest.takeIf { isLastChance || it.timeToFirstTokenMillis <= limitMillis }
    }

    /** The time to first token if all engines that can help were idle. */
    private fun fastestMillis(): Double {
        val engines = minOf(loads.size, EngineModel.PART_COUNTS.last())
        val maximumParts = (wholePrefillMillis / EngineModel.MINIMUM_PART_MILLIS).toInt().coerceIn(1, maxOf(1, engines))
        return wholePrefillMillis / maximumParts + profile.stride * profile.stepMillis
    }

    /** The cheapest placement that splits the prefill into [parts], or null if too few engines fit. */
    private fun candidate(parts: Int): Placement? {
        val partMillis = wholePrefillMillis / parts
        val perPass = model.maximumPrefillMillisPerPass(partMillis, request.shape.promptTokens / parts)
        val fitting = loads
            .filter { it.keepsTokenGaps(perPass) }
            .sortedWith(compareBy({ it.timeToFirstTokenMillis(partMillis) > budgetMillis }, { cost(it, partMillis) }))
        val first = fitting.firstOrNull { canDecode(it, parts) }
        val helpers = fitting.filter { it !== first && it.canHelp }.take(parts - 1)
        if (first == null || helpers.size < parts - 1) return null
        return placement(first, helpers, partMillis)
    }

    private fun placement(first: EngineLoad, helpers: List<EngineLoad>, partMillis: Double): Placement? {
        val helperParts = helperParts(first, helpers) ?: return null
        val engines = helpers + first
        val hopMillis = if (helpers.isEmpty()) 0.0 else profile.stride * profile.hopMillis
        return Placement(
            id = request.id,
            first = PlacedPart(serverId = first.serverId, address = first.address),
            helpers = helperParts,
            timeToFirstTokenMillis = engines.maxOf { it.timeToFirstTokenMillis(partMillis) } + hopMillis,
        )
    }

    /** The helpers with the memory to reserve at each, or null if it doesn't suffice. */
    private fun helperParts(first: EngineLoad, helpers: List<EngineLoad>): List<PlacedPart>? {
        var missing = maxOf(0, neededTokens - first.freeTokens)
        val share = if (helpers.isEmpty() || missing == 0L) 0 else neededTokens / (helpers.size + 1) + 1
        val parts = helpers.map { helper ->
            val tokens = minOf(maxOf(0, helper.freeTokens), share)
            missing -= tokens
            PlacedPart(serverId = helper.serverId, address = helper.address, reservedTokens = tokens)
        }
        return parts.takeIf { missing <= 0 }
    }

    private fun canDecode(load: EngineLoad, parts: Int): Boolean {
        val share = if (parts == 1) neededTokens else neededTokens / parts + 1
        return load.decodingRequests < profile.slots && load.freeTokens >= share && meetsTokenGap(load)
    }

    private fun meetsTokenGap(load: EngineLoad): Boolean = load.passMillis * load.slowness <= request.tokenGapMillis

    private fun cost(load: EngineLoad, partMillis: Double): Double {
        val packs = partMillis < SHORT_PREFILL_MILLIS && !request.spread
        val mixed = load.minimumTokenGapMillis != null && load.minimumTokenGapMillis != request.tokenGapMillis
        return load.timeToFirstTokenMillis(partMillis) +
            (if (mixed) MIXED_GAPS_COST_MILLIS else 0.0) +
            (if (packs && load.isIdle) IDLE_ENGINE_COST_MILLIS else 0.0) -
            (if (packs) load.decodingRequests * PACKING_GAIN_MILLIS else 0.0) +
            (if (load.dataCentre == request.dataCentre) 0.0 else REMOTE_COST_MILLIS) +
            load.failureRate * FAILURE_COST_MILLIS
    }
}

/** Prompts whose prefill takes less than this are packed together. */
private const val SHORT_PREFILL_MILLIS = 120.0

/** The rest of the time to the objective allows for errors of the prediction. */
private const val BUDGET_SHARE = 0.95

/** A late request takes engines that reach its first token within this share of its objective. */
private const val LATE_SHARE = 0.5

/** The longest prompts exceed that share even on idle engines; theirs may be this much slower than idle ones. */
private const val FASTEST_FACTOR = 1.25

/** Covers several reviews of the queue before a request is given up. */
private const val LAST_CHANCE_MILLIS = 100L

/** Penalties and gains in milliseconds of time to first token. */
private const val MIXED_GAPS_COST_MILLIS = 150.0
private const val IDLE_ENGINE_COST_MILLIS = 100.0
private const val PACKING_GAIN_MILLIS = 6.0
private const val REMOTE_COST_MILLIS = 3.0
private const val FAILURE_COST_MILLIS = 600.0
