package org.bulrushtack.forward.peer

import org.bulrushtack.core.placement.EngineAllocation
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.protocol.PlaceRequest
import org.bulrushtack.protocol.ReleaseRequest
import org.bulrushtack.protocol.ResidentRecord

/** Converts messages about placements to and from the daemon's own types; points in time are sent as durations. */
internal object PlacementMessages {
    fun toWire(request: PlacementRequest, nowMillis: Long): PlaceRequest = PlaceRequest.newBuilder()
        .setId(request.id)
        .setTaker(request.ingressDaemon)
        .setService(request.service)
        .setDataCentre(request.dataCentre)
        .setPromptTokens(request.shape.promptTokens)
        .setAnswerTokens(request.shape.answerTokens)
        .setMaximumAnswerTokens(request.shape.maximumAnswerTokens)
        .setPauseMillis(request.tokenGapMillis)
        .setPriority(request.priority)
        .setWaitedMillis(nowMillis - request.receivedAtMillis)
        .setObjectiveInMillis(request.objectiveAtMillis - nowMillis)
        .setGiveUpInMillis(request.giveUpAtMillis - nowMillis)
        .addAllExcluded(request.excluded)
        .setWorkspace(request.workspace)
        .setKind(request.kind)
        .build()

    fun fromWire(request: PlaceRequest, nowMillis: Long): PlacementRequest = PlacementRequest(
        id = request.id,
        ingressDaemon = request.taker,
        service = request.service,
        dataCentre = request.dataCentre,
        shape = PromptShape(
            promptTokens = request.promptTokens.coerceIn(TOKENS),
            answerTokens = request.answerTokens.coerceIn(TOKENS),
            maximumAnswerTokens = request.maximumAnswerTokens.coerceIn(TOKENS),
        ),
        tokenGapMillis = request.pauseMillis,
        priority = request.priority,
        receivedAtMillis = nowMillis - request.waitedMillis,
        objectiveAtMillis = nowMillis + request.objectiveInMillis,
        giveUpAtMillis = nowMillis + request.giveUpInMillis,
        excluded = request.excludedList.toSet(),
        workspace = request.workspace,
        kind = request.kind,
    )

    fun toWire(report: PlacementReport): ReleaseRequest = ReleaseRequest.newBuilder()
        .setPlacementId(report.placementId)
        .setServerId(report.serverId)
        .setOutcome(report.outcome.name)
        .setSlowness(report.slowness ?: 0.0)
        .build()

    fun fromWire(request: ReleaseRequest): PlacementReport = PlacementReport(
        placementId = request.placementId,
        serverId = request.serverId,
        outcome = PlacementOutcome.entries.firstOrNull { it.name == request.outcome } ?: PlacementOutcome.ABANDONED,
        slowness = request.slowness.takeIf { it > 0 },
    )

    fun toWire(allocation: EngineAllocation, nowMillis: Long): ResidentRecord = ResidentRecord.newBuilder()
        .setPlacementId(allocation.placementId)
        .setServerId(allocation.serverId)
        .setWrites(allocation.decodes)
        .setMemoryTokens(allocation.memoryTokens)
        .setContextTokens(allocation.contextTokens)
        .setReadMillis(allocation.prefillMillis)
        .setPauseMillis(allocation.tokenGapMillis)
        .setAgeMillis(nowMillis - allocation.placedAtMillis)
        .build()

    fun fromWire(record: ResidentRecord, ingressDaemon: String, nowMillis: Long): EngineAllocation = EngineAllocation(
        placementId = record.placementId,
        ingressDaemon = ingressDaemon,
        serverId = record.serverId,
        decodes = record.writes,
        memoryTokens = record.memoryTokens.coerceIn(TOKENS),
        contextTokens = record.contextTokens.coerceIn(TOKENS),
        prefillMillis = record.readMillis,
        tokenGapMillis = record.pauseMillis,
        placedAtMillis = nowMillis - maxOf(0, record.ageMillis),
    )
}

/** Sums of any such counts stay in range. */
private val TOKENS = 0L..Int.MAX_VALUE
