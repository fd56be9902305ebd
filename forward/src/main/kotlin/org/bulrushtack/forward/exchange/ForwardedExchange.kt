package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.ResendPolicy
import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HttpExchange
import java.util.concurrent.ScheduledFuture

/** One caller's request from its admission to its final response, across all its sends. */
internal class ForwardedExchange(
    private val dependencies: ExchangeDependencies,
    private val exchange: HttpExchange,
    private val context: ForwardedRequestContext,
    private val onFinished: (ForwardedExchange) -> Unit,
) : SendAttemptListener {
    private val relay: ResponseRelay = if (context.route.streamed) {
        StreamRelay(exchange = exchange, onEvent = ::onEventRelayed, lastEventId = context.caller.lastEventId)
    } else {
        BufferedRelay(exchange)
    }
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
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var firstEventRelayed = false

    /** Starts the first attempt. */
    fun start() {
        dependencies.retryBudgets.deposit(context.service)
        exchange.onClosed { callerDisconnected() }
        val millis = maxOf(0, context.deadlineAtMillis - context.receivedAtMillis - RESPONSE_MARGIN_MILLIS)
        deadlineTimer = dependencies.thread.schedule(millis) { onDeadline() }
        startAttempt()
    }

    override fun onAttemptFinished(result: SendResult) {
        if (response.isDone) return
        sends = sends.after(result.outcome)
        excluded.add(result.serverId)
        dependencies.metrics.recordSend(result.outcome)
        val remainingMillis = context.deadlineAtMillis - dependencies.thread.nowMillis()
        val resend = remainingMillis > MINIMUM_SEND_MILLIS && isResendable(result) && tryWithdrawResend(result.outcome)
        dependencies.log.info(
            "A send finished.",
            LogField("request", context.requestId),
            LogField("server", result.serverId),
            LogField("outcome", result.outcome.name.lowercase()),
            LogField("reason", result.reason),
            LogField("sends", sends.arrived),
            LogField("again", resend),
            LogField("first_event_millis", result.firstEventMillis),
            LogField("age_millis", response.ageMillis()),
        )
        if (resend) startAttempt() else response.afterSend(result = result, sends = sends)
    }

    override fun onAttemptRefused(kind: ErrorKind, retryAfterMillis: Long) {
        if (!response.isDone) response.refused(kind = kind, sends = sends, retryAfterMillis = retryAfterMillis)
    }

    private fun startAttempt() {
        val number = sends.arrived + sends.notSent
        val newAttempt = SendAttempt(dependencies, context, relay, number = number, listener = this)
        attempt = newAttempt
        newAttempt.start(excluded.toSet())
    }

    private fun isResendable(result: SendResult): Boolean =
        ResendPolicy.mayResend(route = context.route, sends = sends, outcome = result.outcome) &&
            (!relay.isStarted || context.route.repeatability == Repeatability.RESUMABLE)

    private fun tryWithdrawResend(outcome: SendOutcome): Boolean =
        outcome == SendOutcome.NOT_SENT || dependencies.retryBudgets.tryWithdraw(context.service)

    private fun onDeadline() {
        if (response.isDone) return
        val sent = sends.mayHaveRun || attempt?.isSent == true
        attempt?.cancel()
        response.timedOut(sent)
    }

    private fun callerDisconnected() {
        if (response.isDone) return
        attempt?.cancel()
        response.callerDisconnected()
    }

    private fun onEventRelayed() {
        attempt?.onEventRelayed()
        if (firstEventRelayed) return
        firstEventRelayed = true
        dependencies.metrics.recordTimeToFirstEvent(context.route.name, response.ageMillis())
    }

    private fun finished() {
        deadlineTimer?.cancel(false)
        onFinished(this)
    }
}

/** The time that the final response needs to reach the caller. */
private const val RESPONSE_MARGIN_MILLIS = 20L

/** A send with less time left could not get a response. */
private const val MINIMUM_SEND_MILLIS = 50L
