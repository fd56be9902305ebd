package org.bulrushtack.core.placement

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.route.ServiceProfile

/**
 * Gives requests their places on engines, for this daemon and for others that ask it. It knows all that it placed; a
 * daemon that takes over learns the rest from the accounts of the takers.
 *
 * @property routing the newest configuration, or null before the first one
 */
public class Scheduler(
    private val fleet: FleetRegion,
    private val ledger: PlacementLedger,
    private val health: ServerHealth,
    private val returnAdvice: RetryAfterPolicy,
    private val routing: () -> RoutingTable?,
) {
    private val queue = PlacementQueue()
    private val placer = EnginePlacer(ledger = ledger, health = health, coldStartLimiter = ColdStartLimiter())
    private var changed = false

    /** How many requests wait. */
    public val waiting: Int get() = queue.size

    /** Places [request] at once, lets it wait, or refuses it. */
    public fun submit(request: PlacementRequest, nowMillis: Long): PlacementDecision {
        val service = routing()?.service(request.service)
        val engine = service?.engine ?: return refusal(request, ErrorKind.NO_BACKEND_SERVER, nowMillis)
        val placed = decide(request, nowMillis)
        if (placed is PlacementDecision.Waiting) {
            val parts = maxOf(1, fleet.usableOf(request.service, nowMillis).size).coerceAtMost(USUAL_PARTS)
            queue.add(request, serviceMillis = EngineModel(engine).readMillis(request.shape.promptTokens) / parts)
        }
        return placed
    }

    /** Takes a waiting request back. */
    public fun withdraw(id: String) {
        if (!queue.remove(id)) changed = ledger.remove(id) || changed
    }

    /** Frees the place of a request that has ended. */
    public fun release(report: PlacementReport, nowMillis: Long) {
        changed = ledger.remove(report.placementId) || changed
        health.note(report.serverId, report.outcome, report.slowness, nowMillis)
    }

    /** Makes the ledger agree with a taker's account. */
    public fun reconcile(taker: String, account: List<EngineAllocation>, nowMillis: Long) {
        ledger.reconcile(taker = taker, account = account, settledBeforeMillis = nowMillis - SETTLING_MILLIS)
    }

    /** Forgets a taker that is gone. */
    public fun removeTaker(taker: String) {
        queue.removeTaker(taker)
        changed = ledger.removeTaker(taker) || changed
    }

    /** Decides again on what waits; gives the decisions that are final. */
    public fun review(nowMillis: Long): List<PlacementDecision> {
        changed = false
        return queue.ordered(nowMillis).mapNotNull { request ->
            decide(request, nowMillis).takeIf { it !is PlacementDecision.Waiting }?.also { queue.remove(request.id) }
        }
    }

    /** Whether a place was freed since the last review. */
    public fun hasNews(): Boolean = changed && queue.size > 0

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
        val retryAfterMillis = returnAdvice.afterMillis(waiting = queue.size, servers = servers)
        return PlacementDecision.Refused(id = request.id, kind = kind, retryAfterMillis = retryAfterMillis)
    }
}

/** The usual number of engines that read a long prompt; only used to order what waits. */
private const val USUAL_PARTS = 4

/** Longer than a decision is on its way to its taker. */
private const val SETTLING_MILLIS = 1_000L
