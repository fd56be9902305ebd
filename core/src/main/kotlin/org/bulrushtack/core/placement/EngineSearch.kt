package org.bulrushtack.core.placement

import org.bulrushtack.core.route.EngineProfile
import kotlin.random.Random

/** Looks for engines for one [request] among [loads]. */
internal class EngineSearch(
    private val request: PlacementRequest,
    loads: List<EngineLoad>,
    private val model: EngineModel,
    private val profile: EngineProfile,
    private val nowMillis: Long,
) {
    private val loads = if (request.spread) loads.shuffled(Random(request.id.hashCode())) else loads
    private val neededTokens = request.shape.promptTokens + request.shape.maximumAnswerTokens
    private val wholeReadMillis = model.readMillis(request.shape.promptTokens)
    private val budgetMillis = (request.objectiveAtMillis - nowMillis) * IN_TIME_SHARE

    /**
     * The fewest engines that are in time. When it is too late for that however long it waits, those that are soonest,
     * as long as they are about free: a request that is late anyway should not make others late.
     */
    fun find(): Placement? {
        val options = PART_COUNTS.asSequence()
            .filter { it == 1 || wholeReadMillis / it >= SHORTEST_PART_MILLIS }
            .mapNotNull { option(it) }
        val inTime = options.firstOrNull { it.firstEventMillis <= budgetMillis }
        return inTime ?: if (budgetMillis < fastestMillis()) late(options) else null
    }

    private fun late(options: Sequence<Placement>): Placement? {
        val soonest = options.minByOrNull { it.firstEventMillis } ?: return null
        val objectiveMillis = request.objectiveAtMillis - request.receivedAtMillis
        val spareMillis = maxOf(objectiveMillis * LATE_SHARE, fastestMillis() * FASTEST_FACTOR)
        val lastChance = nowMillis >= request.giveUpAtMillis - LAST_CHANCE_MILLIS
        return soonest.takeIf { lastChance || it.firstEventMillis <= spareMillis }
    }

    /** The time to the first event if as many engines as can help were free. */
    private fun fastestMillis(): Double {
        val engines = minOf(loads.size, PART_COUNTS.last())
        val mostParts = (wholeReadMillis / SHORTEST_PART_MILLIS).toInt().coerceIn(1, maxOf(1, engines))
        return wholeReadMillis / mostParts + profile.stride * profile.stepMillis
    }

    private fun option(parts: Int): Placement? {
        val partMillis = wholeReadMillis / parts
        val perPass = model.longestReadMillis(partMillis, request.shape.promptTokens / parts)
        val fitting = loads
            .filter { it.bearsReading(perPass) }
            .sortedWith(compareBy({ it.firstEventMillis(partMillis) > budgetMillis }, { cost(it, partMillis) }))
        val first = fitting.firstOrNull { canWrite(it, parts) }
        val helpers = fitting.filter { it !== first && it.ownBacklogMillis <= 0 }.take(parts - 1)
        if (first == null || helpers.size < parts - 1) return null
        return place(first, helpers, partMillis)
    }

    private fun place(first: EngineLoad, helpers: List<EngineLoad>, partMillis: Double): Placement? {
        val tickets = tickets(first, helpers) ?: return null
        val chosen = helpers + first
        val hopMillis = if (helpers.isEmpty()) 0.0 else profile.stride * profile.hopMillis
        return Placement(
            id = request.id,
            first = PlacedPart(serverId = first.serverId, address = first.address),
            helpers = tickets,
            firstEventMillis = chosen.maxOf { it.firstEventMillis(partMillis) } + hopMillis,
        )
    }

    /** The helpers with the memory to reserve at each, or null when it doesn't suffice. */
    private fun tickets(first: EngineLoad, helpers: List<EngineLoad>): List<PlacedPart>? {
        var missing = maxOf(0, neededTokens - first.freeTokens)
        val share = if (helpers.isEmpty() || missing == 0L) 0 else neededTokens / (helpers.size + 1) + 1
        val parts = helpers.map { helper ->
            val tokens = minOf(maxOf(0, helper.freeTokens), share)
            missing -= tokens
            PlacedPart(serverId = helper.serverId, address = helper.address, ticketTokens = tokens)
        }
        return parts.takeIf { missing <= 0 }
    }

    private fun canWrite(load: EngineLoad, parts: Int): Boolean {
        val share = if (parts == 1) neededTokens else neededTokens / parts + 1
        return load.writers < profile.slots && load.freeTokens >= share && writesInTime(load)
    }

    private fun writesInTime(load: EngineLoad): Boolean = load.passMillis * load.slowness <= request.pauseMillis

    private fun cost(load: EngineLoad, partMillis: Double): Double {
        val packs = partMillis < SHORT_READ_MILLIS && !request.spread
        val mixed = load.shortestPauseMillis != null && load.shortestPauseMillis != request.pauseMillis
        return load.firstEventMillis(partMillis) +
            (if (mixed) MIXED_COST_MILLIS else 0.0) +
            (if (packs && load.isIdle) IDLE_COST_MILLIS else 0.0) -
            (if (packs) load.writers * PACKING_GAIN_MILLIS else 0.0) +
            (if (load.dataCentre == request.dataCentre) 0.0 else FAR_COST_MILLIS) +
            load.failureRate * FAILURE_COST_MILLIS
    }
}

/** How many engines may read a prompt together, the first one included. */
@Suppress("MagicNumber")
private val PART_COUNTS = listOf(1, 2, 3, 4, 6, 8, 12, 16)

/** Shorter parts gain nothing: a pass has to end before they are read. */
private const val SHORTEST_PART_MILLIS = 60.0

/** Prompts that are read within this time are packed together. */
private const val SHORT_READ_MILLIS = 120.0

/** Room for the errors of the prediction. */
private const val IN_TIME_SHARE = 0.95

/** A late request takes engines that would give it its first event within this share of its objective. */
private const val LATE_SHARE = 0.5

/** The longest prompts miss that share even on free engines; theirs may be this much slower than free ones. */
private const val FASTEST_FACTOR = 1.25

/** Some reviews of what waits before a request is given up. */
private const val LAST_CHANCE_MILLIS = 100L

/** Costs in milliseconds of the first event that placement accepts to avoid something. */
private const val MIXED_COST_MILLIS = 150.0
private const val IDLE_COST_MILLIS = 100.0
private const val PACKING_GAIN_MILLIS = 6.0
private const val FAR_COST_MILLIS = 3.0
private const val FAILURE_COST_MILLIS = 600.0
