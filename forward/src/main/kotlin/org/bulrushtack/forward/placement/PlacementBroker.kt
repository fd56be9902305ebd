package org.bulrushtack.forward.placement

import io.netty.channel.EventLoop
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.Resident
import org.bulrushtack.core.placement.Scheduler
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * The placements that this daemon decides, for itself and for others, and the account of those that it uses itself.
 */
internal class PlacementBroker(
    private val scheduler: Scheduler,
    private val clock: MonotonicClock,
    private val loop: EventLoop,
) {
    private val listeners = HashMap<String, PlacementListener>()
    private val own = HashMap<String, List<Resident>>()
    private var reviewScheduled = false
    private var timer: ScheduledFuture<*>? = null

    /** Decides on [request] here; [listener] hears the decision now or later. */
    fun placeHere(request: PlacementRequest, listener: PlacementListener) {
        val decision = scheduler.submit(request, clock.nowMillis())
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
        scheduler.release(report, clock.nowMillis())
        reviewSoon()
    }

    /** Takes another daemon's account over. */
    fun reconcile(taker: String, account: List<Resident>) =
        scheduler.reconcile(taker = taker, account = account, nowMillis = clock.nowMillis())

    /** Forgets what a daemon that is gone had placed. */
    fun takerGone(taker: String) = scheduler.removeTaker(taker)

    /** Notes a placement that this daemon uses, whoever decided on it. */
    fun hold(placementId: String, residents: List<Resident>) {
        own[placementId] = residents
    }

    /** Notes the end of a placement that this daemon uses. */
    fun drop(placementId: String) {
        own.remove(placementId)
    }

    /** What this daemon uses. */
    fun account(): List<Resident> = own.values.flatten()

    /** Decides again on what waits here. */
    fun review() {
        scheduler.review(clock.nowMillis()).forEach { listeners.remove(it.id)?.onDecision(it) }
    }

    private fun reviewWhileWaiting() {
        if (timer != null) return
        timer = loop.schedule(
            {
                timer = null
                review()
                if (scheduler.waiting > 0) reviewWhileWaiting()
            },
            REVIEW_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun reviewSoon() {
        if (reviewScheduled || !scheduler.hasNews()) return
        reviewScheduled = true
        loop.execute {
            reviewScheduled = false
            review()
        }
    }
}

/** A fraction of an engine's pass, so that a request that waits misses none. */
private const val REVIEW_MILLIS = 20L
