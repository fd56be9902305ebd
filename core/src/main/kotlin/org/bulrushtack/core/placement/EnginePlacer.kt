package org.bulrushtack.core.placement

import org.bulrushtack.core.fleet.BackendServerState
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.core.route.ServiceProfile

/**
 * Chooses engines for a prompt: the fewest that give its first event in time and keep the pauses of the answers that
 * are being written there. Short prompts are packed onto engines that already serve short ones, so that whole engines
 * stay free for long prompts, which are read in parts.
 */
public class EnginePlacer(
    private val ledger: PlacementLedger,
    private val health: ServerHealth,
    private val coldStartLimiter: ColdStartLimiter,
) {
    /** A place for [request] among [servers] at [nowMillis], or null when it had better wait. */
    public fun place(
        request: PlacementRequest,
        servers: List<BackendServerState>,
        service: ServiceProfile,
        nowMillis: Long,
    ): Placement? {
        val profile = service.engine ?: return null
        val model = EngineModel(profile)
        val search = EngineSearch(
            request = request,
            loads = candidates(request, servers, service, nowMillis).map { load(it, model, profile, nowMillis) },
            model = model,
            profile = profile,
            nowMillis = nowMillis,
        )
        return search.find()?.also { record(request, it, model, nowMillis) }
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
        val fresh = allowed.filter { it.entry.id !in request.excluded }.ifEmpty { allowed }
        return fresh.filterNot { health.isAvoided(it.entry.id, nowMillis) }
    }

    private fun load(
        server: BackendServerState,
        model: EngineModel,
        profile: EngineProfile,
        nowMillis: Long,
    ): EngineLoad {
        val id = server.entry.id
        val residents = ledger.residents(id)
        val slowness = health.slowness(id)
        val passMillis = model.passMillis(residents)
        val readUntil = readUntil(residents, passMillis, slowness)
        val isReadingOwn = readUntil(residents.filter { it.writes }, passMillis, slowness) > nowMillis
        return EngineLoad(
            serverId = id,
            address = server.entry.address,
            dataCentre = server.entry.dataCentre,
            writers = residents.count { it.writes },
            backlogMillis = maxOf(0.0, readUntil - nowMillis),
            ownBacklogMillis = if (isReadingOwn) maxOf(0.0, readUntil - nowMillis) else 0.0,
            passMillis = passMillis,
            readingShare = readingShare(residents, passMillis, nowMillis),
            shortestPauseMillis = residents.filter { it.writes }.minOfOrNull { it.pauseMillis },
            freeTokens = (profile.memoryTokens * MEMORY_SHARE).toLong() - residents.sumOf { it.memoryTokens },
            slowness = slowness,
            failureRate = health.failureRate(id),
        )
    }

    private fun readUntil(residents: List<EngineAllocation>, passMillis: Double, slowness: Double): Double =
        residents.fold(0.0) { until, resident ->
            maxOf(until, resident.placedAtMillis + passMillis / 2) + resident.readMillis * slowness
        }

    private fun readingShare(residents: List<EngineAllocation>, passMillis: Double, nowMillis: Long): Double = residents
        .filter { it.placedAtMillis > nowMillis - RATE_WINDOW_MILLIS }
        .sumOf { minOf(it.readMillis, passMillis) }
        .div(RATE_WINDOW_MILLIS)
        .coerceAtMost(HIGHEST_READING_SHARE)

    private fun record(request: PlacementRequest, choice: Placement, model: EngineModel, nowMillis: Long) {
        val residents = EngineAllocations.of(request, choice, model.readMillis(request.shape.promptTokens), nowMillis)
        ledger.add(residents)
        residents.forEach { health.used(it.serverId, nowMillis) }
        coldStartLimiter.sent(choice.first.serverId, nowMillis)
    }
}

/** Several passes of a busy engine. */
private const val RATE_WINDOW_MILLIS = 400L
private const val HIGHEST_READING_SHARE = 0.5

/** Engines round each request's memory up to blocks, and token counts are estimates by the caller. */
private const val MEMORY_SHARE = 0.96
