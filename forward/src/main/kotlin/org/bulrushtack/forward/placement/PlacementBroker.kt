package org.bulrushtack.forward.placement

import org.bulrushtack.core.placement.EngineAllocation
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.forward.ForwardThread
import java.util.concurrent.ScheduledFuture

/**
 * The placements that this daemon decides, for itself and for others.
 *
 * @property account the placements that this daemon uses itself
 */
internal class PlacementBroker(
    private val scheduler: Scheduler,
    private val thread: ForwardThread,
    val account: PlacementAccount = PlacementAccount(),
) {
    private val listeners = HashMap<String, PlacementListener>()
    private var reviewScheduled = false
    private var timer: ScheduledFuture<*>? = null

    /** Decides on [request] here; [listener] hears the decision now or later. */
    fun placeHere(request: PlacementRequest, listener: PlacementListener) {
        val decision = scheduler.submit(request, thread.nowMillis())
        if (decision is PlacementDecision.Waiting) {
            listeners[request.id] = listener
            reviewWhileWaiting()
        }
        listener.onDecision(decision)
    }

    /** Takes a request back that was to be decided here. */
    fun withdrawHere(id: String) {
        listeners.remove(id)
        scheduler.withdraw(id)
        reviewSoon()
    }

    /** Frees a place that was decided here. */
    fun releaseHere(report: PlacementReport) {
        scheduler.release(report, thread.nowMillis())
        reviewSoon()
    }

    /** Takes another daemon's account over. */
    fun reconcile(taker: String, account: List<EngineAllocation>) =
        scheduler.reconcile(taker = taker, account = account, nowMillis = thread.nowMillis())

    /** Forgets what a daemon that is gone had placed. */
    fun takerGone(taker: String) = scheduler.removeTaker(taker)

    /** Decides again on what waits here. */
    fun review() {
        scheduler.review(thread.nowMillis()).forEach { listeners.remove(it.id)?.onDecision(it) }
    }

    private fun reviewWhileWaiting() {
        if (timer != null) return
        timer = thread.after(REVIEW_MILLIS) {
            timer = null
            review()
            if (scheduler.waiting > 0) reviewWhileWaiting()
        }
    }

    private fun reviewSoon() {
        if (reviewScheduled || !scheduler.hasNews()) return
        reviewScheduled = true
        thread.loop.execute {
            reviewScheduled = false
            review()
        }
    }
}

/** A fraction of an engine's pass, so that a request that waits misses none. */
private const val REVIEW_MILLIS = 20L
