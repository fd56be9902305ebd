package org.bulrushtack.core.placement

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.ServiceProfile

/**
 * Places requests on engines, for this daemon and for others that send it theirs. It knows all its own placements;
 * a daemon that becomes placement leader learns the others from the reports of the ingress daemons.
 *
 * @property routing the newest configuration, or null before the first one
 */
public class Scheduler(
    private val fleet: FleetRegion,
    private val ledger: PlacementLedger,
    private val health: ServerHealth,
    private val retryAfterPolicy: RetryAfterPolicy,
    private val routing: () -> RoutingTable?,
) {
    private val queue = PlacementQueue()
    private val placer = EnginePlacer(ledger = ledger, health = health, coldStartLimiter = ColdStartLimiter())
    private var capacityFreed = false

    /** The number of queued requests. */
    public val waiting: Int get() = queue.size

    /** Places [request] at once, queues it, or refuses it. */
    public fun submit(request: PlacementRequest, nowMillis: Long): PlacementDecision {
        val service = routing()?.service(request.service)
        val engine = service?.engine ?: return refusal(request, ErrorKind.NO_BACKEND_SERVER, nowMillis)
        val decision = decide(request, nowMillis)
        if (decision is PlacementDecision.Waiting) {
            val parts = maxOf(1, fleet.usableOf(request.service, nowMillis).size).coerceAtMost(USUAL_PARTS)
            queue.add(request, serviceMillis = EngineModel(engine).prefillMillis(request.shape.promptTokens) / parts)
        }
        return decision
    }

    /** Cancels a request: removes it from the queue, or releases its placement. */
    public fun withdraw(id: String) {
        if (!queue.remove(id)) capacityFreed = ledger.remove(id) || capacityFreed
    }

    /** Releases the placement of a completed request and records its outcome. */
    public fun release(report: PlacementReport, nowMillis: Long) {
        val slowness = report.slowness?.times(ledger.assumedSlowness(report.placementId, report.serverId))
        capacityFreed = ledger.remove(report.placementId) || capacityFreed
        health.recordOutcome(report.serverId, report.outcome, slowness, nowMillis)
    }

    /** Updates the ledger with the allocations that [ingressDaemon] has [reported]. */
    public fun reconcile(ingressDaemon: String, reported: List<EngineAllocation>, nowMillis: Long) {
        ledger.reconcile(
            ingressDaemon = ingressDaemon,
            reported = reported,
            confirmedBeforeMillis = nowMillis - DECISION_DELIVERY_MILLIS,
        )
    }

    /** Removes the requests and allocations of an ingress daemon that is gone. */
    public fun removeIngressDaemon(ingressDaemon: String) {
        queue.removeIngressDaemon(ingressDaemon)
        capacityFreed = ledger.removeIngressDaemon(ingressDaemon) || capacityFreed
    }

    /** Tries again to place the queued requests; returns the decisions that are final. */
    public fun review(nowMillis: Long): List<PlacementDecision> {
        capacityFreed = false
        return queue.ordered(nowMillis).mapNotNull { request ->
            decide(request, nowMillis).takeIf { it !is PlacementDecision.Waiting }?.also { queue.remove(request.id) }
        }
    }

    /** Whether a placement has been released since the last review while requests are queued. */
    public fun hasFreedCapacity(): Boolean = capacityFreed && queue.size > 0

    private fun decide(request: PlacementRequest, nowMillis: Long): PlacementDecision {
        val service = routing()?.service(request.service)
        val placement = service?.let { place(request, it, nowMillis) }
        return when {
            placement != null ->
                PlacementDecision.Placed(placement, waitedMillis = nowMillis - request.receivedAtMillis)
            nowMillis >= request.giveUpAtMillis -> refusal(request, ErrorKind.OVERLOADED, nowMillis)
            else -> PlacementDecision.Waiting(request.id)
        }
    }

    private fun place(request: PlacementRequest, service: ServiceProfile, nowMillis: Long): Placement? = placer.place(
        request = request,
        servers = fleet.usableOf(request.service, nowMillis),
        service = service,
        nowMillis = nowMillis,
    )

    private fun refusal(request: PlacementRequest, kind: ErrorKind, nowMillis: Long): PlacementDecision {
        val servers = fleet.usableOf(request.service, nowMillis).size
        val retryAfterMillis = retryAfterPolicy.delayMillis(waiting = queue.size, servers = servers)
        return PlacementDecision.Refused(id = request.id, kind = kind, retryAfterMillis = retryAfterMillis)
    }
}

/** The usual number of engines that prefill a long prompt; only used to order the queue. */
private const val USUAL_PARTS = 4

/** Longer than a decision takes to reach its ingress daemon. */
private const val DECISION_DELIVERY_MILLIS = 1_000L
