package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.EngineAllocation
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.forward.ForwardThread
import java.util.concurrent.ScheduledFuture

/**
 * Submits placement requests of this daemon and of its peers to the local [scheduler] and delivers its decisions.
 *
 * @property pressures the pressures of services, which syncs exchange
 * @property activePlacements the placements that this daemon uses itself
 */
internal class PlacementBroker(
    private val scheduler: Scheduler,
    private val thread: ForwardThread,
    val pressures: ServicePressures,
    val activePlacements: ActivePlacements = ActivePlacements(),
) {
    private val listeners = HashMap<String, PlacementListener>()
    private var reviewScheduled = false
    private var reviewTimer: ScheduledFuture<*>? = null

    /** Submits [request]; [listener] receives the decision now or later. */
    fun submit(request: PlacementRequest, listener: PlacementListener) {
        val decision = scheduler.submit(request, thread.nowMillis())
        if (decision is PlacementDecision.Waiting) {
            listeners[request.id] = listener
            scheduleReviews()
        }
        listener.onDecision(decision)
    }

    /** Withdraws a submitted request, whether it waits or has been placed. */
    fun withdraw(id: String) {
        listeners.remove(id)
        scheduler.withdraw(id)
        reviewIfFreed()
    }

    /** Releases a placement that was decided here. */
    fun release(report: PlacementReport) {
        scheduler.release(report, thread.nowMillis())
        reviewIfFreed()
    }

    /** Reconciles the scheduler with the allocations that [ingressDaemon] reports as in use. */
    fun reconcile(ingressDaemon: String, allocations: List<EngineAllocation>) =
        scheduler.reconcile(ingressDaemon = ingressDaemon, reported = allocations, nowMillis = thread.nowMillis())

    /** Removes the queued requests and the allocations of an unresponsive ingress daemon. */
    fun removeIngressDaemon(ingressDaemon: String) = scheduler.removeIngressDaemon(ingressDaemon)

    /** Tries again to place the waiting requests. */
    fun review() {
        thread.forEach(scheduler.review(thread.nowMillis())) { listeners.remove(it.id)?.onDecision(it) }
    }

    private fun scheduleReviews() {
        if (reviewTimer != null) return
        reviewTimer = thread.schedule(REVIEW_INTERVAL_MILLIS) {
            reviewTimer = null
            review()
            if (scheduler.waiting > 0) scheduleReviews()
        }
    }

    private fun reviewIfFreed() {
        if (reviewScheduled || !scheduler.hasFreedCapacity()) return
        reviewScheduled = true
        thread.execute {
            reviewScheduled = false
            review()
        }
    }
}

/** A fraction of one forward pass of an engine, so that a waiting request misses none. */
private const val REVIEW_INTERVAL_MILLIS = 20L
