package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.call.ServiceCall
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.lifecycle.DaemonMetrics
import org.bulrushtack.daemon.owner.CallSink
import org.bulrushtack.daemon.owner.CallSubmission
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.RemoteOwner
import org.bulrushtack.forward.ProblemWriter
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

/** Holds the service calls that callers sent to this daemon, and executes the actions for them. */
internal class CallIngress(
    private val control: ControlThread,
    private val runner: WorkRunner,
    private val remote: RemoteOwner,
    private val clock: MonotonicClock,
    private val metrics: DaemonMetrics,
) {
    private val log = ComponentLog(component = "call")
    private val calls = ConcurrentHashMap<String, ReceivedCall>()

    /** Registers a new call and passes it to the controllers. */
    fun accept(call: ServiceCall, exchange: HttpExchange) {
        calls[call.id] = ReceivedCall(call = call, exchange = exchange)
        control.post(Event.CallRequested(call))
    }

    /** Sends a call to the owner of its backend server. */
    fun send(action: Action.SendCall) {
        val received = calls[action.requestId] ?: return
        val call = received.call
        val submission = CallSubmission(
            id = WorkId(requestId = call.id, attempt = action.attempt),
            server = action.server,
            workspace = call.workspace,
            service = call.service,
            operation = call.operation,
            contentType = received.exchange.request.headers.find("content-type") ?: "application/json",
            body = received.exchange.request.body,
            idempotencyKey = call.key?.text,
            timeoutMillis = maxOf(1, call.deadlineAtMillis - clock.nowMillis()),
        )
        val sink = ControlThreadSink(requestId = call.id)
        if (action.ownerAddress.isEmpty()) {
            runner.submit(submission = submission, sink = sink)
        } else {
            remote.call(address = action.ownerAddress, submission = submission, sink = sink)
        }
    }

    /** Responds to a call with the answer of its service, or with the stored answer of an earlier call with its key. */
    fun answer(action: Action.AnswerCall) {
        val received = calls.remove(action.requestId) ?: return
        val headers = HttpHeaderList().with(name = "idempotency-replayed", value = action.replayed.toString())
        metrics.countAnsweredCall(replayed = action.replayed)
        logOutcome(call = received.call, outcome = if (action.replayed) "replayed" else "answered")
        received.exchange.respond(
            HttpMessageResponse(
                status = action.answer.status,
                contentType = action.answer.contentType,
                body = Base64.getDecoder().decode(action.answer.body),
                headers = headers,
            ),
        )
    }

    /** Ends a call with a problem. */
    fun fail(action: Action.FailCall) {
        val received = calls.remove(action.requestId) ?: return
        metrics.countProblem(action.problem.kind)
        logOutcome(call = received.call, outcome = action.problem.kind.code)
        received.exchange.respond(ProblemWriter.response(problem = action.problem, requestId = action.requestId))
    }

    private fun logOutcome(call: ServiceCall, outcome: String) {
        val millis = clock.nowMillis() - call.receivedAtMillis
        log.info {
            "request=${call.id} workspace=${call.workspace} service=${call.service} operation=${call.operation} " +
                "millis=$millis outcome=$outcome."
        }
    }

    private data class ReceivedCall(
        val call: ServiceCall,
        val exchange: HttpExchange,
    )

    private inner class ControlThreadSink(
        private val requestId: String,
    ) : CallSink {
        override fun answered(answer: CallAnswer) =
            control.post(Event.CallAnswered(requestId = requestId, answer = answer))

        override fun failed(problem: Problem) {
            log.debug { "request=$requestId failed: ${problem.kind.code}. ${problem.detail}" }
            control.post(Event.CallAttemptFailed(requestId = requestId, problem = problem))
        }
    }
}
