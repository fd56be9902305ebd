package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.forward.wire.BackendRequestHead

/** One try of a request: a place is found, memory is reserved where needed, and the request is sent once. */
internal class SendAttempt(
    private val dependencies: ExchangeDependencies,
    private val order: ForwardOrder,
    private val relay: AnswerRelay,
    private val number: Int,
    private val listener: SendAttemptListener,
) : AttemptPlaceListener {
    private val watch = SilenceWatch(dependencies.thread)
    private var place: AttemptPlace? = null
    private var reservations: Reservations? = null
    private var send: BackendSend? = null
    private var sentAtMillis = 0L
    private var firstEventMillis: Long? = null
    private var over = false

    /** Whether any byte of this try may have reached a server. */
    val isSent: Boolean get() = send != null

    /** Looks for a place that is none of [excluded]. */
    fun begin(excluded: Set<String>) {
        val found = AttemptPlaces(dependencies, order).create(number, excluded, this)
        place = found
        if (found == null) {
            refused(ErrorKind.NO_BACKEND_SERVER, dependencies.returnAdvice.delayMillis())
        } else {
            found.begin()
        }
    }

    /** Ends this try without a word on the server. */
    fun cancel() {
        if (over) return
        over = true
        send?.cancel()
        watch.stop()
        reservations?.release()
        place?.cancel()
    }

    /** Notes that an event reached the caller. */
    fun eventRelayed() {
        if (firstEventMillis == null) firstEventMillis = dependencies.thread.nowMillis() - sentAtMillis
        if (mayBeReplaced()) watch.expectWithin(order.patience.eventGapMillis) { silent("no further event") }
    }

    override fun placed(target: SendTarget) {
        val reserved = Reservations(
            client = dependencies.reservations,
            thread = dependencies.thread,
            log = dependencies.log,
            name = "${order.requestId}-$number",
            parts = target.helpers,
            freeMillis = dependencies.reservationFreeMillis(),
        )
        reservations = reserved
        reserved.reserve { succeeded ->
            when {
                over -> reserved.release()
                succeeded -> send(target, reserved)
                else -> end(SendEnd(SendOutcome.NOT_SENT, "memory was not reserved", target.serverId), blame = false)
            }
        }
    }

    override fun refused(kind: ErrorKind, retryAfterMillis: Long) {
        if (over) return
        over = true
        listener.attemptRefused(kind, retryAfterMillis)
    }

    /** The server may have begun to leave since it was chosen, so it is looked at once more. */
    private fun send(target: SendTarget, reserved: Reservations) {
        val nowMillis = dependencies.thread.nowMillis()
        if (dependencies.state.fleet.usable(target.serverId, nowMillis) == null) {
            end(SendEnd(SendOutcome.NOT_SENT, "the server may no longer be used", target.serverId), blame = false)
            return
        }
        sentAtMillis = nowMillis
        val head = BackendRequestHead(
            serverId = target.serverId,
            workspace = order.workspace?.name,
            deadlineMillis = order.caller.deadlineMillis?.let { order.finalAtMillis - nowMillis },
            lastEventId = (relay as? StreamRelay)?.lastEventId,
            urgency = (order.priority * URGENCY_STEP).coerceIn(0, LEAST_URGENT),
            helpers = reserved.helpers,
        )
        val backendSend = BackendSend(dependencies.codec, order.requestId, target, relay) { end(it, blame = true) }
        send = backendSend
        backendSend.start(dependencies.client, dependencies.codec.backendRequest(order.request, target.address, head))
        if (mayBeReplaced()) watch.expectWithin(order.firstAnswerMillis(target)) { silent("no answer") }
    }

    private fun mayBeReplaced(): Boolean = order.route.repeatability != Repeatability.ONCE

    /** A silent server is left only while another one may take over; else its answer may still come. */
    private fun silent(reason: String) {
        val another = number + 1 < order.route.maximumSends
        if (another) send?.giveUp(reason)
    }

    private fun end(end: SendEnd, blame: Boolean) {
        if (over) return
        over = true
        if (end.reason == BackendSend.MISDIRECTED) dependencies.state.fleet.markLeaving(end.faultyServerId)
        watch.stop()
        reservations?.release()
        val outcome = if (blame) placementOutcome(end.outcome) else PlacementOutcome.ABANDONED
        place?.release(outcome, end.faultyServerId, firstEventMillis)
        listener.attemptEnded(end.copy(firstEventMillis = firstEventMillis))
    }

    private fun placementOutcome(outcome: SendOutcome): PlacementOutcome = when (outcome) {
        SendOutcome.DELIVERED -> PlacementOutcome.SUCCEEDED
        SendOutcome.NOT_RUN -> PlacementOutcome.REJECTED
        SendOutcome.ANSWERED_WITH_FAILURE -> PlacementOutcome.ANSWERED_WITH_FAILURE
        SendOutcome.NOT_SENT, SendOutcome.UNKNOWN -> PlacementOutcome.FAILED
    }
}

/** Ranks of the configuration are 0, 1, 2 ...; servers know 0 to 9. */
private const val URGENCY_STEP = 2
private const val LEAST_URGENT = 9
