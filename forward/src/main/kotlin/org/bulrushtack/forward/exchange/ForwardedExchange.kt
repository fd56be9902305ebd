package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HttpExchange

/** One caller's request from its admission to its final response, across all its sends. */
internal class ForwardedExchange(
    private val dependencies: ExchangeDependencies,
    private val exchange: HttpExchange,
    val context: ForwardedRequestContext,
    private val onFinished: (ForwardedExchange) -> Unit,
) : SendAttemptListener {
    private val usage = RequestUsage(context.workspace?.name, dependencies.recordUsage)
    private val relay: ResponseRelay = if (context.route.streamed) {
        StreamRelay(exchange = exchange, onEvent = ::onEventRelayed, lastEventId = context.caller.lastEventId)
    } else {
        BufferedRelay(
            exchange = exchange,
            maximumBufferedBytes = dependencies.responseBufferBytes,
            onExecuted = { usage.record() },
        )
    }
    private val resendGate = ResendGate(dependencies = dependencies, context = context, relay = relay)
    private val replacement =
        UnresponsiveSendReplacement(dependencies = dependencies, context = context, resendGate = resendGate)
    private val response = FinalResponse(
        dependencies = dependencies,
        context = context,
        exchange = exchange,
        relay = relay,
        onFinished = ::finished,
    )
    private var sends = SendCount()
    private var attempt: SendAttempt? = null
    private val excluded = HashSet<String>()
    private val deadlineTimer = DeadlineTimer(
        thread = dependencies.thread,
        hasStarted = { relay.isStarted },
        onTimeout = { end { timedOut(it) } },
    )
    private var firstEventRelayed = false

    /** Whether the current attempt has not been sent to a backend server yet. */
    val isWaiting: Boolean get() = attempt?.isSent != true

    /** Ends the request with the response of [respond], which gets whether a server may have received it. */
    fun end(respond: FinalResponse.(sent: Boolean) -> Unit) {
        if (response.isDone) return
        val sent = sends.mayHaveRun || !isWaiting
        try {
            attempt?.cancel()
        } finally {
            response.respond(sent)
        }
    }

    /** Starts the first attempt. */
    fun start() {
        dependencies.retryBudgets.deposit(context.service)
        exchange.onClosed { callerDisconnected() }
        deadlineTimer.start(context.deadlineAtMillis)
        startAttempt()
    }

    override fun onAttemptFinished(result: SendResult) {
        if (response.isDone) return
        sends = sends.after(result.outcome)
        excluded.add(result.serverId)
        dependencies.metrics.recordSend(result.outcome)
        val isPaid = replacement.takePayment()
        val resend = resendGate.allows(sends, result.outcome) && (isPaid || resendGate.tryWithdraw(result.outcome))
        dependencies.log.info(
            "A send finished.",
            LogField("request", context.requestId),
            LogField("server", result.serverId),
            LogField("outcome", result.outcome.name.lowercase()),
            LogField("reason", result.reason),
            LogField("framing", result.framing?.name?.lowercase()),
            LogField("unfinished_bytes", result.unfinishedBytes),
            LogField("shared_parts", sharedPartsToLog(result)),
            LogField("sends", sends.arrived),
            LogField("again", resend),
            LogField("first_event_millis", result.firstEventMillis),
            LogField("age_millis", response.ageMillis),
        )
        if (resend) startAttempt() else response.afterSend(result = result, sends = sends)
    }

    /** Only broken sends are worth the bytes: what they share tells what a server ended under. */
    private fun sharedPartsToLog(result: SendResult): String? =
        if (result.outcome == SendOutcome.UNKNOWN) context.caller.sharedParts.joinToString(",") else null

    override fun onAttemptInactive(reason: String) {
        val current = attempt ?: return
        val unsuitable = excluded + listOfNotNull(current.serverId)
        if (!response.isDone) replacement.request(current, sends = sends, excluded = unsuitable, reason = reason)
    }

    override fun onAttemptRefused(kind: ErrorKind, retryAfterMillis: Long) {
        if (!response.isDone) response.refused(kind, sends.mayHaveRun, retryAfterMillis)
    }

    private fun startAttempt() {
        val newAttempt = SendAttempt(dependencies, context, relay, number = sends.total, listener = this)
        attempt = newAttempt
        if (!replacement.handTo(newAttempt)) newAttempt.start(excluded.toSet())
    }

    private fun callerDisconnected() {
        if (response.isDone) return
        attempt?.cancel()
        response.callerDisconnected()
    }

    private fun onEventRelayed() {
        attempt?.onEventRelayed()
        replacement.cancel()
        if (firstEventRelayed) return
        firstEventRelayed = true
        usage.record()
        dependencies.metrics.recordTimeToFirstEvent(context.route.name, response.ageMillis)
    }

    private fun finished() {
        deadlineTimer.stop()
        replacement.cancel()
        onFinished(this)
    }
}
