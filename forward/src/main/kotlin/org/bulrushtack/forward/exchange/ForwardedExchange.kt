package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.ResendPolicy
import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HttpExchange
import java.util.concurrent.ScheduledFuture

/** One caller's request from its admission to its final answer, over as many sends as it may take. */
internal class ForwardedExchange(
    private val dependencies: ExchangeDependencies,
    private val exchange: HttpExchange,
    private val order: ForwardOrder,
    private val onEnd: (ForwardedExchange) -> Unit,
) : SendAttemptListener {
    private val relay: AnswerRelay = if (order.route.streamed) {
        StreamRelay(exchange = exchange, onEvent = ::eventRelayed, lastEventId = order.caller.lastEventId)
    } else {
        WholeRelay(exchange)
    }
    private val answer = FinalAnswer(
        dependencies = dependencies,
        order = order,
        exchange = exchange,
        relay = relay,
        onEnd = ::ended,
    )
    private var sends = SendCount()
    private var attempt: SendAttempt? = null
    private val excluded = HashSet<String>()
    private var timeout: ScheduledFuture<*>? = null
    private var firstEventSeen = false

    /** Begins with the first send. */
    fun start() {
        dependencies.budgets.earn(order.service)
        exchange.onClosed { callerLeft() }
        val millis = maxOf(0, order.finalAtMillis - order.receivedAtMillis - FINAL_MARGIN_MILLIS)
        timeout = dependencies.thread.schedule(millis) { timeOut() }
        attempt()
    }

    override fun attemptEnded(end: SendEnd) {
        if (answer.isGiven) return
        sends = sends.after(end.outcome)
        excluded.add(end.faultyServerId)
        dependencies.metrics.recordSend(end.outcome)
        val left = order.finalAtMillis - dependencies.thread.nowMillis()
        val again = left > SHORTEST_SEND_MILLIS && isResendable(end) && allows(end.outcome)
        dependencies.log.info(
            "A send ended.",
            LogField("request", order.requestId),
            LogField("server", end.faultyServerId),
            LogField("outcome", end.outcome.name.lowercase()),
            LogField("reason", end.reason),
            LogField("sends", sends.arrived),
            LogField("again", again),
            LogField("first_event_millis", end.firstEventMillis),
            LogField("age_millis", answer.ageMillis()),
        )
        if (again) attempt() else answer.afterSend(end = end, sends = sends)
    }

    override fun attemptRefused(kind: ErrorKind, retryAfterMillis: Long) {
        if (!answer.isGiven) answer.refused(kind = kind, sends = sends, retryAfterMillis = retryAfterMillis)
    }

    private fun attempt() {
        val next = SendAttempt(dependencies, order, relay, number = sends.arrived + sends.notSent, listener = this)
        attempt = next
        next.begin(excluded.toSet())
    }

    private fun isResendable(end: SendEnd): Boolean =
        ResendPolicy.mayResend(route = order.route, sends = sends, outcome = end.outcome) &&
            (!relay.isBegun || order.route.repeatability == Repeatability.RESUMABLE)

    private fun allows(outcome: SendOutcome): Boolean =
        outcome == SendOutcome.NOT_SENT || dependencies.budgets.spend(order.service)

    private fun timeOut() {
        if (answer.isGiven) return
        val sent = sends.mayHaveRun || attempt?.isSent == true
        attempt?.cancel()
        answer.timeUp(sent)
    }

    private fun callerLeft() {
        if (answer.isGiven) return
        attempt?.cancel()
        answer.callerLeft()
    }

    private fun eventRelayed() {
        attempt?.eventRelayed()
        if (firstEventSeen) return
        firstEventSeen = true
        dependencies.metrics.recordTimeToFirstEvent(order.route.name, answer.ageMillis())
    }

    private fun ended() {
        timeout?.cancel(false)
        onEnd(this)
    }
}

/** The final answer needs some time on its way. */
private const val FINAL_MARGIN_MILLIS = 20L

/** A server could do nothing in less. */
private const val SHORTEST_SEND_MILLIS = 50L
