package org.bulrushtack.core.placement

import org.bulrushtack.core.admission.PressureMeter
import org.bulrushtack.core.admission.QueuedRequest
import org.bulrushtack.core.admission.RequestBounds
import org.bulrushtack.core.admission.ServiceAdmission
import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.route.RoutingTable

/**
 * Places requests on engines, for this daemon and for others that send it theirs. It knows all its own placements;
 * a daemon that becomes placement leader learns the others from the reports of the ingress daemons.
 *
 * @property mayChoose whether the waiting requests for a service may be chosen among at a time: the operators rank
 *   them, and the ledger holds the placements of all daemons; else they are placed one by one, and no request is
 *   refused before it has to be given up
 * @property routing the newest configuration, or null before the first one
 */
public class Scheduler(
    private val fleet: FleetRegion,
    private val ledger: PlacementLedger,
    private val health: ServerHealth,
    retryAfterPolicy: RetryAfterPolicy,
    private val mayChoose: (service: String, nowMillis: Long) -> Boolean = { _, _ -> true },
    private val routing: () -> RoutingTable?,
) {
    private val queue = PlacementQueue()
    private val placer = EnginePlacer(ledger = ledger, health = health, coldStartLimiter = ColdStartLimiter())
    private val refusals = RefusalFactory(retryAfterPolicy)
    private val admissions = HashMap<String, ServiceAdmission>()
    private var capacityFreed = false

    /** Measures the pressure of the services with the placements that are known here. */
    public val pressureMeter: PressureMeter = PressureMeter(fleet, queue, placer, routing)

    /** The number of queued requests. */
    public val waiting: Int get() = queue.size

    /** Places [request] at once, queues it, or refuses it. */
    public fun submit(request: PlacementRequest, nowMillis: Long): PlacementDecision {
        val service = routing()?.service(request.service)
        val engine = service?.engine ?: return refusals.withoutService(request)
        val engines = fleet.usableOf(request.service, nowMillis).size
        val queued = QueuedRequest.of(RequestBounds.clamp(request), engine, engines)
        val admission = admissions.getOrPut(service.name) { ServiceAdmission() }
        admission.recordArrival(queued, nowMillis)
        val isContended = queue.hasService(service.name) && mayChoose(queued, nowMillis)
        val constraints = if (isContended) admission.constraints(queued) else PlacementConstraints()
        return decide(queued, constraints, nowMillis)
            ?: PlacementDecision.Waiting(request.id).also { queue.add(queued) }
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
        return queue.byService()
            .flatMap { (service, waiting) -> review(service, waiting, nowMillis) }
            .onEach { queue.remove(it.id) }
    }

    /** Whether a placement has been released since the last review while requests are queued. */
    public fun hasFreedCapacity(): Boolean = capacityFreed && queue.size > 0

    private fun review(name: String, waiting: List<QueuedRequest>, nowMillis: Long): List<PlacementDecision> {
        val engine = routing()?.service(name)?.engine
        val servers = fleet.usableOf(name, nowMillis)
        val admission = admissions.getOrPut(name) { ServiceAdmission() }
        if (engine == null || servers.isEmpty() || !waiting.all { mayChoose(it, nowMillis) }) {
            return QueuedRequest.ordered(waiting, nowMillis)
                .mapNotNull { decide(it, PlacementConstraints(), nowMillis) }
        }
        val engines = { placer.timelines(servers, engine, nowMillis) }
        val review = admission.review(waiting, engines, engine, nowMillis) { queued, constraints ->
            decide(queued, constraints, nowMillis)
        }
        return review.decisions + review.refused.map { planned ->
            admission.recordDecision(planned.queued.request, wasServed = false)
            refusals.early(planned, nowMillis)
        }
    }

    /** Whether the requests for a service may be chosen among, with all placements known. */
    private fun mayChoose(queued: QueuedRequest, nowMillis: Long): Boolean =
        !queued.request.spread && mayChoose(queued.request.service, nowMillis)

    /** The final decision on [queued], or null if it waits. */
    private fun decide(
        queued: QueuedRequest,
        constraints: PlacementConstraints,
        nowMillis: Long,
    ): PlacementDecision? {
        val request = queued.request
        val service = routing()?.service(request.service)
        val servers = fleet.usableOf(request.service, nowMillis)
        val placement = service?.let { placer.place(request, servers, it, nowMillis, constraints) }
        val decision = when {
            placement != null -> PlacementDecision.Placed(placement, nowMillis - request.receivedAtMillis)
            nowMillis >= request.giveUpAtMillis ->
                refusals.afterWait(request, waiting = queue.size, servers = servers.size)
            else -> null
        }
        if (decision != null) admissions[request.service]?.recordDecision(request, wasServed = placement != null)
        return decision
    }
}

/** Longer than a decision takes to reach its ingress daemon. */
private const val DECISION_DELIVERY_MILLIS = 1_000L
