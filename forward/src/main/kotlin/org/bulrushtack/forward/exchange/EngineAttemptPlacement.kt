package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.Placement
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.placement.PlacementSession

/** A placement on model engines, made by the placement leader. */
internal class EngineAttemptPlacement(
    private val dependencies: ExchangeDependencies,
    private val request: PlacementRequest,
    private val listener: AttemptPlacementListener,
    profile: EngineProfile,
) : AttemptPlacement {
    private val session: PlacementSession = dependencies.placementClient.newSession(request, profile) { onDecision(it) }
    private var placement: Placement? = null
    private var isCancelled = false

    override fun start() {
        dependencies.demand.startWaiting(request)
        session.start()
    }

    override fun cancel() {
        isCancelled = true
        dependencies.demand.stopWaiting(request.id)
        placement?.let { release(PlacementOutcome.ABANDONED, it.first.serverId, firstEventMillis = null) }
        session.cancel()
    }

    override fun release(outcome: PlacementOutcome, serverId: String, firstEventMillis: Long?) {
        val used = placement ?: return
        placement = null
        val slowness = firstEventMillis?.let { it / maxOf(1.0, used.timeToFirstTokenMillis) }
        session.release(
            PlacementReport(placementId = request.id, serverId = serverId, outcome = outcome, slowness = slowness),
        )
    }

    private fun onDecision(decision: PlacementDecision) {
        dependencies.demand.stopWaiting(request.id)
        when {
            isCancelled -> Unit
            decision is PlacementDecision.Placed -> {
                placement = decision.placement
                recordWait(decision.waitedMillis)
                log(decision)
                val first = decision.placement.first
                listener.onPlaced(SendTarget(first.serverId, first.address, decision.placement))
            }
            decision is PlacementDecision.Refused -> {
                dependencies.metrics.shortage.recordRefusal(request, decision.reason)
                log(decision)
                listener.onRefused(decision.kind, decision.retryAfterMillis)
            }
        }
    }

    private fun recordWait(millis: Long) {
        dependencies.metrics.recordPlacementWait(millis)
        if (millis > 0) dependencies.metrics.shortage.recordDelay(request, millis)
    }

    private fun log(decision: PlacementDecision.Refused) = dependencies.log.warn(
        "A request could not be placed.",
        LogField("request", request.id),
        LogField("kind", decision.kind.code),
        LogField("reason", decision.reason.code),
        LogField("workspace", request.workspace),
        LogField("route", request.kind),
        LogField("priority", request.priority),
        LogField("waited_millis", dependencies.thread.nowMillis() - request.receivedAtMillis),
        LogField("retry_after_millis", decision.retryAfterMillis),
        LogField(
            "usable_servers",
            dependencies.state.fleet.usableOf(request.service, dependencies.thread.nowMillis()).size,
        ),
        LogField("prompt_tokens", request.shape.promptTokens),
        LogField("version", dependencies.state.routing?.configuration?.version),
    )

    private fun log(decision: PlacementDecision.Placed) = dependencies.log.info(
        "A request was placed.",
        LogField("request", request.id),
        LogField("server", decision.placement.first.serverId),
        LogField("helpers", decision.placement.helpers.size),
        LogField("helper_servers", decision.placement.helpers.joinToString(",") { it.serverId }),
        LogField("reserved_tokens", decision.placement.helpers.sumOf { it.reservedTokens }),
        LogField("waited_millis", decision.waitedMillis),
        LogField("workspace", request.workspace),
        LogField("route", request.kind),
        LogField("priority", request.priority),
        LogField("predicted_millis", decision.placement.timeToFirstTokenMillis.toLong()),
        LogField("left_millis", request.objectiveAtMillis - dependencies.thread.nowMillis()),
        LogField("prompt_tokens", request.shape.promptTokens),
        LogField("version", dependencies.state.routing?.configuration?.version),
    )
}
