package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HttpExchange

/** Gives a caller its one final answer: the server's own, or a problem that is true of what was sent. */
internal class FinalAnswer(
    private val dependencies: ExchangeDependencies,
    private val order: ForwardOrder,
    private val exchange: HttpExchange,
    private val relay: AnswerRelay,
    private val onEnd: () -> Unit,
) {
    /** Whether the request has its final answer, or needs none any more. */
    var isGiven: Boolean = false
        private set

    /** The time since the request arrived. */
    fun ageMillis(): Long = dependencies.thread.nowMillis() - order.receivedAtMillis

    /** The answer after the last send, which ended with [end]. */
    fun afterSend(end: SendEnd, sends: SendCount) {
        when {
            end.outcome == SendOutcome.DELIVERED -> {
                dependencies.metrics.recordResponse(order.route.name, STATUS_OK, ageMillis())
                close("answered")
            }
            relay.isBegun -> breakOff("the server's answer broke off")
            end.failure != null -> {
                dependencies.metrics.recordResponse(order.route.name, end.failure.status, ageMillis())
                close("server failure")
                exchange.respond(end.failure)
            }
            sends.mayHaveRun -> problem(lostKind())
            end.outcome == SendOutcome.NOT_SENT -> problem(ErrorKind.NOT_DISPATCHED)
            else -> problem(ErrorKind.OVERLOADED)
        }
    }

    /** The answer where no further place was found. */
    fun refused(kind: ErrorKind, sends: SendCount, retryAfterMillis: Long) = when {
        relay.isBegun -> breakOff("no other server could go on")
        sends.mayHaveRun -> problem(lostKind())
        else -> problem(kind, retryAfterMillis)
    }

    /** The answer at the end of the caller's time; [sent] says whether a server may have got the request. */
    fun timeUp(sent: Boolean) = when {
        relay.isBegun -> breakOff("the time was up")
        sent -> problem(ErrorKind.DEADLINE_EXCEEDED)
        else -> problem(ErrorKind.CANNOT_FINISH)
    }

    /** Nobody waits for an answer any more. */
    fun callerLeft() = close("caller left")

    private fun lostKind(): ErrorKind =
        if (order.route.repeatability == Repeatability.ONCE) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.BACKEND_LOST

    private fun breakOff(reason: String) {
        close("broken off: $reason")
        relay.abort()
    }

    private fun problem(kind: ErrorKind, retryAfterMillis: Long = dependencies.returnAdvice.delayMillis()) {
        dependencies.metrics.recordProblem(kind)
        close(kind.code)
        exchange.respond(ProblemWriter.response(Problem(kind), order.requestId, retryAfterMillis))
    }

    private fun close(how: String) {
        isGiven = true
        dependencies.metrics.recordCompletion(how.substringBefore(':'))
        dependencies.log.info(
            "A request ended.",
            LogField("request", order.requestId),
            LogField("route", order.route.name),
            LogField("how", how),
            LogField("age_millis", ageMillis()),
            LogField("objective_millis", order.route.objectiveMillis),
        )
        onEnd()
    }
}

private const val STATUS_OK = 200
