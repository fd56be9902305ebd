package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.error.RefusalStatus
import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpMessageResponse

/** Sends a caller its single final response: the server's own, or a problem that matches what was sent. */
internal class FinalResponse(
    private val dependencies: ExchangeDependencies,
    private val context: ForwardedRequestContext,
    private val exchange: HttpExchange,
    private val relay: ResponseRelay,
    private val onFinished: () -> Unit,
) {
    /** Whether the final response was sent or is no longer needed. */
    var isDone: Boolean = false
        private set

    private val isRunOnce: Boolean get() = context.route.repeatability == Repeatability.ONCE

    /** The time since the request arrived. */
    val ageMillis: Long get() = dependencies.thread.nowMillis() - context.receivedAtMillis

    /** Responds after the last send, which had [result]. */
    fun afterSend(result: SendResult, sends: SendCount) {
        when {
            result.outcome == SendOutcome.DELIVERED -> {
                dependencies.metrics.recordResponse(context.route.name, STATUS_OK, ageMillis)
                finish("answered")
            }
            relay.isStarted -> abort("the server's response was incomplete")
            result.failure != null && mayReachCaller(result.failure) -> {
                dependencies.metrics.recordResponse(context.route.name, result.failure.status, ageMillis)
                finish("server failure")
                exchange.respond(result.failure)
            }
            sends.mayHaveRun -> problem(lostResponseKind(), detail = result.failure?.let { statusDetail(it) }.orEmpty())
            result.outcome == SendOutcome.NOT_SENT -> problem(ErrorKind.NOT_DISPATCHED)
            else -> problem(ErrorKind.OVERLOADED)
        }
    }

    /** Responds when the request can't be placed again; [mayHaveRun] tells whether an earlier send may have run. */
    fun refused(kind: ErrorKind, mayHaveRun: Boolean, retryAfterMillis: Long) = when {
        relay.isStarted -> abort("no other server could resume the response")
        mayHaveRun -> problem(lostResponseKind())
        else -> problem(kind, retryAfterMillis)
    }

    /** Responds at the caller's deadline; [sent] tells whether a server may have received the request. */
    fun timedOut(sent: Boolean) = when {
        relay.isStarted -> abort("the deadline passed")
        sent -> problem(ErrorKind.DEADLINE_EXCEEDED)
        else -> problem(ErrorKind.CANNOT_FINISH)
    }

    /** Responds before the process exits; [sent] tells whether a server may have received the request. */
    fun shutDown(sent: Boolean) = when {
        relay.isStarted -> abort("the daemon shut down")
        sent -> problem(lostResponseKind(), detail = "The daemon shut down before the answer was complete.")
        else -> problem(ErrorKind.DRAINING)
    }

    /** Closes the request without a response, as the caller has disconnected. */
    fun callerDisconnected() = finish("caller left")

    /**
     * A server that has not run a request states so, and its response is no [failure] then. Any other response with the
     * status of a refusal would let the caller repeat what may run only once.
     */
    private fun mayReachCaller(failure: HttpMessageResponse): Boolean =
        !isRunOnce || !RefusalStatus.promisesNotRun(failure.status)

    private fun lostResponseKind(): ErrorKind =
        if (isRunOnce) ErrorKind.OUTCOME_UNKNOWN else ErrorKind.BACKEND_LOST

    private fun abort(reason: String) {
        finish("broken off: $reason")
        relay.abort()
    }

    private fun problem(
        kind: ErrorKind,
        retryAfterMillis: Long = dependencies.retryAfterPolicy.delayMillis(),
        detail: String = "",
    ) {
        dependencies.metrics.recordProblem(kind)
        finish(kind.code)
        exchange.respond(ProblemWriter.response(Problem(kind, detail), context.requestId, retryAfterMillis))
    }

    private fun finish(how: String) {
        isDone = true
        dependencies.metrics.recordCompletion(how.substringBefore(':'))
        RequestLog(dependencies.log).recordFinished(context, how, ageMillis)
        onFinished()
    }
}

private fun statusDetail(failure: HttpMessageResponse): String =
    "The server responded with status ${failure.status} and did not state that it had not run the request."

private const val STATUS_OK = 200
