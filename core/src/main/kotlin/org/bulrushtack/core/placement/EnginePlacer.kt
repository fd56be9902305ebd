package org.bulrushtack.core.placement

import org.bulrushtack.core.admission.EngineTimeline
import org.bulrushtack.core.fleet.BackendServerState
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.ServiceProfile

/**
 * Selects engines for a prompt: the fewest that meet its time to first token and keep the token gaps of the requests
 * that already decode there. Short prompts are packed onto engines that already serve short ones, so that whole
 * engines stay free for long prompts, whose prefill is split over several engines.
 */
public class EnginePlacer(
    private val ledger: PlacementLedger,
    private val health: ServerHealth,
    private val coldStartLimiter: ColdStartLimiter,
) {
    /** Places [request] on some of [servers] at [nowMillis]; null if it should wait. */
    public fun place(
        request: PlacementRequest,
        servers: List<BackendServerState>,
        service: ServiceProfile,
        nowMillis: Long,
        constraints: PlacementConstraints = PlacementConstraints(),
    ): Placement? {
        val profile = service.engine ?: return null
        val model = EngineModel(profile)
        val loads = candidates(request, servers, service, nowMillis)
            .filterNot { it.entry.id in constraints.heldEngines }
            .map { load(it, model, profile, nowMillis) }
        val (avoided, preferred) = loads.partition { it.serverId in constraints.avoidedEngines }
        val search = { among: List<EngineLoad>, allowsLate: Boolean ->
            EngineSearch(request, among, model, profile, nowMillis, allowsLate).findPlacement()
        }
        val comfortableMillis = (request.objectiveAtMillis - nowMillis) * COMFORTABLE_SHARE
        val elsewhere = avoided.ifEmpty { null }
            ?.let { search(preferred, false) }
            ?.takeIf { it.timeToFirstTokenMillis <= comfortableMillis }
        return (elsewhere ?: search(loads, constraints.allowsLate))
            ?.also { allocate(request, it, model, nowMillis) }
    }

    /** When each of [servers] can take further requests. */
    internal fun timelines(
        servers: List<BackendServerState>,
        profile: EngineProfile,
        nowMillis: Long,
    ): List<EngineTimeline> {
        val model = EngineModel(profile)
        return servers.map { server ->
            val load = load(server, model, profile, nowMillis)
            val avoidedMillis = health.avoidedForMillis(server.entry.id, nowMillis)
            val stepMillis = load.passMillis / maxOf(1, profile.stride)
            EngineTimeline(
                serverId = load.serverId,
                backlogMillis = maxOf(load.backlogMillis, avoidedMillis.toDouble()),
                pace = EngineTimeline.Pace(load.passMillis, load.waitForPassesMillis, load.slowness),
                capacity = EngineTimeline.Capacity(
                    slots = profile.slots,
                    memoryTokens = (profile.memoryTokens * MEMORY_SHARE).toLong(),
                ),
                occupants = ledger.allocations(server.entry.id).map { occupant(it, stepMillis, profile, nowMillis) },
            )
        }
    }

    private fun occupant(
        allocation: EngineAllocation,
        stepMillis: Double,
        profile: EngineProfile,
        nowMillis: Long,
    ): EngineTimeline.Occupant {
        val answerTokens = if (allocation.answerTokens > 0) allocation.answerTokens else profile.meanAnswerTokens
        val decodeMillis = answerTokens * stepMillis
        val endMillis = allocation.placedAtMillis + allocation.prefillMillis + decodeMillis
        return EngineTimeline.Occupant(
            endsInMillis = maxOf(endMillis - nowMillis, decodeMillis * OVERDUE_SHARE),
            memoryTokens = allocation.memoryTokens,
            tokenGapMillis = allocation.tokenGapMillis,
            decodes = allocation.decodes,
        )
    }

    private fun candidates(
        request: PlacementRequest,
        servers: List<BackendServerState>,
        service: ServiceProfile,
        nowMillis: Long,
    ): List<BackendServerState> {
        val allowed = servers.filter { server ->
            val cold = server.coldUntilMillis > nowMillis && service.coldPerSecond > 0
            !cold || coldStartLimiter.allows(server.entry.id, service.coldPerSecond, nowMillis)
        }
        val untried = allowed.filter { it.entry.id !in request.excluded }.ifEmpty { allowed }
        return untried.filterNot { health.isAvoided(it.entry.id, nowMillis) }
    }

    private fun load(
        server: BackendServerState,
        model: EngineModel,
        profile: EngineProfile,
        nowMillis: Long,
    ): EngineLoad {
        val id = server.entry.id
        val allocations = ledger.allocations(id)
        val slowness = health.slowness(id, nowMillis)
        val passMillis = model.passMillis(allocations)
        val prefillUntil = prefillUntil(allocations, passMillis, slowness)
        return EngineLoad(
            serverId = id,
            address = server.entry.address,
            dataCentre = server.entry.dataCentre,
            decodingRequests = allocations.count { it.decodes },
            backlogMillis = maxOf(0.0, prefillUntil - nowMillis),
            passMillis = passMillis,
            prefillShare = prefillShare(allocations, passMillis, nowMillis),
            minimumTokenGapMillis = allocations.filter { it.decodes }.minOfOrNull { it.tokenGapMillis },
            freeTokens = (profile.memoryTokens * MEMORY_SHARE).toLong() - allocations.sumOf { it.memoryTokens },
            slowness = slowness,
            failureRate = health.failureRate(id),
        )
    }

    private fun prefillUntil(allocations: List<EngineAllocation>, passMillis: Double, slowness: Double): Double =
        allocations.fold(0.0) { until, allocation ->
            maxOf(until, allocation.placedAtMillis + passMillis / 2) + allocation.prefillMillis * slowness
        }

    private fun prefillShare(allocations: List<EngineAllocation>, passMillis: Double, nowMillis: Long): Double =
        allocations
            .filter { it.placedAtMillis > nowMillis - RATE_WINDOW_MILLIS }
            .sumOf { minOf(it.prefillMillis, passMillis) }
            .div(RATE_WINDOW_MILLIS)
            .coerceAtMost(MAXIMUM_PREFILL_SHARE)

    private fun allocate(request: PlacementRequest, placement: Placement, model: EngineModel, nowMillis: Long) {
        val prefillMillis = model.prefillMillis(request.shape.promptTokens)
        val allocations = EngineAllocations.compute(request, placement, prefillMillis, nowMillis)
            .map { it.copy(assumedSlowness = health.slowness(it.serverId, nowMillis)) }
        ledger.add(allocations)
        allocations.forEach { health.recordSend(it.serverId, nowMillis) }
        coldStartLimiter.recordSend(placement.first.serverId, nowMillis)
    }
}

/** Covers several passes of a busy engine. */
private const val RATE_WINDOW_MILLIS = 400L
private const val MAXIMUM_PREFILL_SHARE = 0.5

/** Engines round each request's memory up to blocks, and token counts are estimates by the caller. */
private const val MEMORY_SHARE = 0.96

/** What is assumed to be left of an answer that takes longer than expected. */
private const val OVERDUE_SHARE = 0.2

/** The share of the time to the objective within which a request leaves engines to others that wait for them. */
private const val COMFORTABLE_SHARE = 0.7
