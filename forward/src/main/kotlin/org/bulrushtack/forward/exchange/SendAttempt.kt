package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.quarantine.ObservedServer
import org.bulrushtack.forward.wire.BackendRequestHead

/** One attempt of a request: places it, reserves memory where needed, and sends the request once. */
internal class SendAttempt(
    private val dependencies: ExchangeDependencies,
    private val context: ForwardedRequestContext,
    private val relay: ResponseRelay,
    private val number: Int,
    private val listener: SendAttemptListener,
) : AttemptPlacementListener {
    /** The progress of the send. */
    val progress = SendProgress(dependencies.thread, onInactive = { if (!isFinished) listener.onAttemptInactive(it) })
    private val crashObserver = CrashObserver(
        reports = dependencies.crashReports,
        liveness = dependencies.liveness,
        thread = dependencies.thread,
        parts = context.caller.sharedParts,
    )
    private var placement: AttemptPlacement? = null
    private var reservations: Reservations? = null
    private var send: BackendSend? = null
    private var isFinished = false

    private var sentTo: SendTarget? = null

    /** The server that got the request, or null before the send. */
    val serverId: String? get() = sentTo?.serverId

    /** Whether any byte of this attempt may have reached a server. */
    val isSent: Boolean get() = send?.isSent ?: false

    /** Starts the placement on a server that is not in [excluded]. */
    fun start(excluded: Set<String>) {
        if (endIfPointless(target = null)) return
        val created = AttemptPlacementFactory(dependencies, context).create(number, excluded, this)
        placement = created
        if (created == null) {
            onRefused(ErrorKind.NO_BACKEND_SERVER, dependencies.retryAfterPolicy.delayMillis())
        } else {
            created.start()
        }
    }

    /** Uses [created], which has selected [target] or will report its selection to this attempt. */
    fun adopt(created: AttemptPlacement, target: SendTarget?) {
        placement = created
        target?.let { onPlaced(it) }
    }

    /** Cancels this attempt with no effect on the server's health record. */
    fun cancel() {
        if (isFinished) return
        isFinished = true
        crashObserver.onCancelled()
        send?.cancel()
        progress.stop()
        reservations?.release()
        placement?.cancel()
    }

    /** Records that an event was sent to the caller. */
    fun onEventRelayed() {
        progress.recordEvent(context.timeouts.eventGapMillis.takeIf { isRepeatable })
        crashObserver.onEventRelayed()
    }

    /** Ends the send, whose server shows no progress, with an unknown outcome. */
    fun giveUp(reason: String) {
        crashObserver.onGivenUp()
        send?.timeOut(reason)
    }

    override fun onPlaced(target: SendTarget) {
        val attemptReservations = Reservations(
            client = dependencies.reservationClient,
            thread = dependencies.thread,
            log = dependencies.log,
            plan = ReservationPlan(
                sendId = "${context.requestId}-$number",
                firstAddress = target.address,
                parts = target.helpers,
                freeMillis = dependencies.reservationFreeMillis(),
            ),
            isProgressing = { progress.firstEventMillis != null && progress.silentMillis <= it },
        )
        reservations = attemptReservations
        attemptReservations.reserve { succeeded ->
            when {
                isFinished -> attemptReservations.release()
                succeeded -> send(target, attemptReservations)
                else -> finish(
                    SendResult(SendOutcome.NOT_SENT, "memory was not reserved", target.serverId),
                    attributeToServer = false,
                )
            }
        }
    }

    override fun onRefused(kind: ErrorKind, retryAfterMillis: Long) {
        if (isFinished) return
        isFinished = true
        listener.onAttemptRefused(kind, retryAfterMillis)
    }

    /**
     * Ends this attempt if its request should reach no server any more: servers have crashed under parts of the prompt,
     * or the answer, from [target] if the request is placed, would end after this process exits. Ends it as well if
     * [target] is no longer usable, as it may have started leaving (draining) since it was selected. Returns whether
     * the attempt has ended.
     */
    private fun endIfPointless(target: SendTarget?): Boolean {
        val nowMillis = dependencies.thread.nowMillis()
        val quarantineMillis = dependencies.crashReports.quarantineMillis(context.caller.sharedParts)
        val isQuarantined = quarantineMillis > 0
        val isTooLate = !dependencies.drain.leavesTimeUntil(context.expectedEndAtMillis(nowMillis, target))
        when {
            isFinished -> Unit
            isQuarantined || isTooLate -> {
                cancel()
                listener.onAttemptRefused(
                    kind = if (isQuarantined) ErrorKind.PROMPT_QUARANTINED else ErrorKind.DRAINING,
                    retryAfterMillis = quarantineMillis.takeIf { isQuarantined }
                        ?: dependencies.retryAfterPolicy.delayMillis(),
                )
            }
            target != null && dependencies.state.fleet.usable(target.serverId, nowMillis) == null -> finish(
                SendResult(SendOutcome.NOT_SENT, "the server is no longer usable", target.serverId),
                attributeToServer = false,
            )
        }
        return isFinished
    }

    private fun send(target: SendTarget, attemptReservations: Reservations) {
        if (endIfPointless(target)) return
        val nowMillis = dependencies.thread.nowMillis()
        sentTo = target
        val head = BackendRequestHead(
            serverId = target.serverId,
            workspace = context.workspace?.name,
            deadlineMillis = context.caller.deadlineMillis?.let { context.deadlineAtMillis - nowMillis },
            lastEventId = (relay as? StreamRelay)?.lastEventId,
            urgency = (context.priority * URGENCY_PER_PRIORITY).coerceIn(0, MAXIMUM_URGENCY),
            helpers = attemptReservations.helpers,
        )
        val lifetime = dependencies.state.fleet.lifetime(target.serverId)
        val backendSend = BackendSend(
            codec = dependencies.codec,
            attemptId = context.requestId,
            target = target,
            relay = relay,
            failureBody = FailureBody(maximumBytes = dependencies.responseBufferBytes),
            listener = SendTo(target, lifetime),
        )
        send = backendSend
        val timeoutMillis = context.firstResponseTimeoutMillis(target)
        crashObserver.onSent(
            sentTo = ObservedServer(lifetime, target.address),
            helpers = target.helpers.map { dependencies.state.fleet.lifetime(it.serverId) },
            silenceMillis = timeoutMillis,
        )
        val request = dependencies.codec.backendRequest(context.request, target.address, head)
        backendSend.start(
            client = dependencies.client,
            request = request.copy(maximumResponseBytes = dependencies.maximumResponseBytes()),
        )
        progress.start(timeoutMillis.takeIf { isRepeatable })
    }

    private val isRepeatable: Boolean get() = context.route.repeatability != Repeatability.ONCE

    private fun finish(result: SendResult, attributeToServer: Boolean) {
        if (isFinished) return
        isFinished = true
        sentTo?.takeIf { result.isBrokenOff }?.let { dependencies.reachability.recordLost(it.address) }
        // A daemon that may be cut off itself can't judge the server that it lost.
        val isOwnLoss = attributeToServer && result.isServerLost && !dependencies.reachability.trustsFailures
        crashObserver.onFinished(if (isOwnLoss) result.copy(isBrokenOff = false) else result)
        val isMisdirected = result.reason == BackendSend.MISDIRECTED
        val isVersionRefused = isMisdirected && context.caller.requiresVersion
        if (isMisdirected && !isVersionRefused) {
            dependencies.state.fleet.markLost(result.serverId, dependencies.thread.nowMillis())
        }
        progress.stop()
        reservations?.release()
        val isServersOutcome = attributeToServer && !isVersionRefused && !isOwnLoss
        val outcome = if (isServersOutcome) placementOutcome(result.outcome) else PlacementOutcome.ABANDONED
        placement?.release(outcome, result.serverId, progress.firstEventMillis)
        listener.onAttemptFinished(result.copy(firstEventMillis = progress.firstEventMillis))
    }

    /** The send of this attempt to [target], which is in [lifetime]. */
    private inner class SendTo(
        private val target: SendTarget,
        private val lifetime: ServerLifetime,
    ) : BackendSend.Listener {
        override fun mayWrite(): Boolean = !endIfPointless(target)

        override fun onLeaving() {
            if (dependencies.state.fleet.markLeaving(lifetime)) {
                dependencies.log.info(
                    "A backend server said in a response that it is leaving.",
                    LogField("server", target.serverId),
                    LogField("request", context.requestId),
                )
            }
        }

        override fun onFinished(result: SendResult) = finish(result, attributeToServer = true)
    }
}

private fun placementOutcome(outcome: SendOutcome): PlacementOutcome = when (outcome) {
    SendOutcome.DELIVERED -> PlacementOutcome.SUCCEEDED
    SendOutcome.NOT_RUN -> PlacementOutcome.REJECTED
    SendOutcome.ANSWERED_WITH_FAILURE -> PlacementOutcome.ANSWERED_WITH_FAILURE
    SendOutcome.NOT_SENT, SendOutcome.UNKNOWN -> PlacementOutcome.FAILED
}

/** Priorities in the configuration are 0, 1, 2, ...; servers accept 0 to 9. */
private const val URGENCY_PER_PRIORITY = 2
private const val MAXIMUM_URGENCY = 9
