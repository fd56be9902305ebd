package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.exchange.Patience
import org.bulrushtack.core.exchange.ResendPolicy
import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.Workspace
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.wire.CallerHead
import org.bulrushtack.http.HttpExchange
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** One caller's request from its admission to its final answer, over as many sends as it may take. */
internal class ForwardedExchange(
    private val tools: ExchangeTools,
    private val exchange: HttpExchange,
    private val caller: CallerHead,
    private val route: Route,
    private val workspace: Workspace?,
    private val onEnd: (ForwardedExchange) -> Unit,
) {
    private val requestId = caller.attemptId.orEmpty()
    private val receivedAtMillis = tools.clock.nowMillis()
    private val finalMillis = minOf(route.timeoutMillis, caller.deadlineMillis ?: Long.MAX_VALUE)
    private val finalAtMillis = receivedAtMillis + finalMillis
    private val service = route.service(tools.random.nextDouble())
    private val order = ForwardOrder(
        requestId = requestId,
        service = service,
        route = route,
        caller = caller,
        workspace = workspace,
        patience = Patience.of(route = route, finalMillis = finalMillis),
        receivedAtMillis = receivedAtMillis,
        finalAtMillis = finalAtMillis,
        request = exchange.request,
    )
    private val relay: AnswerRelay = if (route.streamed) {
        StreamRelay(exchange = exchange, onEvent = ::eventRelayed, lastEventId = caller.lastEventId)
    } else {
        WholeRelay(exchange)
    }
    private var sends = SendCount()
    private var attempt: SendAttempt? = null
    private val excluded = HashSet<String>()
    private var timeout: ScheduledFuture<*>? = null
    private var firstEventSeen = false
    private var ended = false

    /** Begins with the first send. */
    fun start() {
        tools.budgets.earn(service)
        exchange.onClosed { callerLeft() }
        val delayMillis = maxOf(0, finalMillis - FINAL_MARGIN_MILLIS)
        timeout = tools.loop.schedule({ timeOut() }, delayMillis, TimeUnit.MILLISECONDS)
        attempt()
    }

    private fun attempt() {
        attempt = SendAttempt(
            tools = tools,
            order = order,
            relay = relay,
            number = sends.arrived + sends.notSent,
            excluded = excluded.toSet(),
            onEnd = ::sendEnded,
            onRefused = ::refused,
        ).also { it.begin() }
    }

    private fun sendEnded(end: SendEnd) {
        if (ended) return
        sends = sends.after(end.outcome)
        excluded.add(end.faultyServerId)
        tools.metrics.sendEnded(end.outcome)
        val left = finalAtMillis - tools.clock.nowMillis()
        val again = left > SHORTEST_SEND_MILLIS && isResendable(end) && allows(end.outcome)
        tools.log.info(
            "A send ended.",
            LogField("request", requestId),
            LogField("server", end.faultyServerId),
            LogField("outcome", end.outcome.name.lowercase()),
            LogField("reason", end.reason),
            LogField("sends", sends.arrived),
            LogField("again", again),
            LogField("age_millis", age()),
        )
        if (again) attempt() else finish(end)
    }

    private fun isResendable(end: SendEnd): Boolean =
        ResendPolicy.mayResend(route = route, sends = sends, outcome = end.outcome) &&
            (!relay.isBegun || route.repeatability == Repeatability.RESUMABLE && route.streamed)

    private fun allows(outcome: SendOutcome): Boolean =
        outcome == SendOutcome.NOT_SENT || tools.budgets.spend(service)

    private fun finish(end: SendEnd) {
        when {
            end.outcome == SendOutcome.DELIVERED -> close("answered")
            relay.isBegun -> breakOff("the server's answer broke off")
            end.failure != null -> {
                close("server failure")
                tools.metrics.answered(route.name, end.failure.status, age())
                exchange.respond(end.failure)
            }
            sends.mayHaveRun -> problem(lostKind())
            end.outcome == SendOutcome.NOT_SENT -> problem(ErrorKind.NOT_DISPATCHED)
            else -> problem(ErrorKind.OVERLOADED)
        }
        if (end.outcome == SendOutcome.DELIVERED) tools.metrics.answered(route.name, STATUS_OK, age())
    }

    private fun refused(kind: ErrorKind, retryAfterMillis: Long) {
        when {
            ended -> Unit
            relay.isBegun -> breakOff("no other server could go on")
            sends.mayHaveRun -> problem(lostKind())
            else -> problem(kind, retryAfterMillis)
        }
    }

    private fun lostKind(): ErrorKind =
        if (route.repeatability == Repeatability.ONCE) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.BACKEND_LOST

    private fun timeOut() {
        if (ended) return
        val sent = sends.mayHaveRun || attempt?.isSent == true
        attempt?.cancel()
        when {
            relay.isBegun -> breakOff("the time was up")
            sent -> problem(ErrorKind.DEADLINE_EXCEEDED)
            else -> problem(ErrorKind.CANNOT_FINISH)
        }
    }

    private fun callerLeft() {
        if (ended) return
        attempt?.cancel()
        close("caller left")
    }

    private fun breakOff(reason: String) {
        close("broken off: $reason")
        relay.abort()
    }

    private fun problem(kind: ErrorKind, retryAfterMillis: Long = RETRY_AFTER_MILLIS) {
        close(kind.code)
        tools.metrics.problem(kind)
        exchange.respond(ProblemWriter.response(Problem(kind), requestId, retryAfterMillis))
    }

    private fun eventRelayed() {
        attempt?.eventRelayed()
        if (firstEventSeen) return
        firstEventSeen = true
        tools.metrics.firstEvent(route.name, age())
    }

    private fun close(how: String) {
        if (ended) return
        ended = true
        timeout?.cancel(false)
        tools.metrics.ended(how.substringBefore(':'))
        tools.log.info(
            "A request ended.",
            LogField("request", requestId),
            LogField("route", route.name),
            LogField("how", how),
            LogField("sends", sends.arrived),
            LogField("age_millis", age()),
            LogField("objective_millis", route.objectiveMillis),
        )
        onEnd(this)
    }

    private fun age(): Long = tools.clock.nowMillis() - receivedAtMillis
}

/** The final answer needs some time on its way. */
private const val FINAL_MARGIN_MILLIS = 20L

/** A server could do nothing in less. */
private const val SHORTEST_SEND_MILLIS = 50L
private const val RETRY_AFTER_MILLIS = 500L
private const val STATUS_OK = 200
