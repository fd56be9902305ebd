package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind

/** The placement of the next attempt, requested while the current attempt may still answer. */
internal class StandbyPlacement(
    private val listener: Listener,
) : AttemptPlacementListener {
    private var placement: AttemptPlacement? = null
    private var target: SendTarget? = null
    private var user: SendAttempt? = null

    /** Requests [created]; null stands for a service that is not configured. */
    fun start(created: AttemptPlacement?) {
        placement = created
        if (created == null) listener.onStandbyRefused() else created.start()
    }

    /** Withdraws the request or releases the placement, unless an attempt uses it. */
    fun cancel() {
        if (user == null) placement?.cancel()
    }

    /** Lets [attempt] use the placement, now or as soon as it is made. */
    fun handTo(attempt: SendAttempt) {
        user = attempt
        placement?.let { attempt.adopt(it, target) }
    }

    override fun onPlaced(target: SendTarget) {
        this.target = target
        user?.onPlaced(target) ?: listener.onStandbyPlaced(target)
    }

    override fun onRefused(kind: ErrorKind, retryAfterMillis: Long) {
        user?.onRefused(kind, retryAfterMillis) ?: listener.onStandbyRefused()
    }

    /** Receives the result while no attempt uses the placement. */
    interface Listener {
        /** The next attempt may start on [target]. */
        fun onStandbyPlaced(target: SendTarget)

        /** No server is available. */
        fun onStandbyRefused()
    }
}
