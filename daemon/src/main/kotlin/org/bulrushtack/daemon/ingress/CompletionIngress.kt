package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.lifecycle.DaemonMetrics
import org.bulrushtack.daemon.owner.AttemptSubmission
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.RemoteOwner
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Holds the sessions of the completions that callers sent to this daemon, and executes the actions for them. */
internal class CompletionIngress(
    private val control: ControlThread,
    private val runner: WorkRunner,
    private val remote: RemoteOwner,
    private val clock: MonotonicClock,
    metrics: DaemonMetrics,
) {
    private val sessions = ConcurrentHashMap<String, CompletionSession>()

    /** Observes the sessions of this ingress; every session must be created with it. */
    val observer: SessionObserver = CompletionReporter(
        control = control,
        clock = clock,
        metrics = metrics,
        onFinished = { sessions.remove(it.request.id) },
    )

    /** Starts the periodic check for progress and for stalled engines. */
    fun start(timer: ScheduledExecutorService) {
        timer.scheduleWithFixedDelay({ checkSessions() }, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Registers a new completion and passes it to the controllers. */
    fun accept(session: CompletionSession) {
        sessions[session.request.id] = session
        control.post(Event.CompletionRequested(request = session.request))
    }

    /** Sends an attempt to the owner of its backend server. */
    fun sendAttempt(action: Action.SendAttempt) {
        val session = sessions[action.requestId] ?: return
        val sink = session.startAttempt(action.attempt)
        val submission = AttemptSubmission(
            id = WorkId(requestId = action.requestId, attempt = action.attempt),
            server = action.server,
            workspace = session.request.workspace,
            model = session.request.model,
            prompt = session.prompt,
            promptTokens = session.request.promptTokens,
            maximumTokens = session.request.maximumTokens,
            resumeFrom = session.tokensReceived,
            timeoutMillis = maxOf(1, session.request.deadlineAtMillis - clock.nowMillis()),
        )
        if (action.ownerAddress.isEmpty()) {
            session.onCancel(action.attempt) { runner.withdraw(submission.id) }
            runner.submit(submission = submission, sink = sink)
        } else {
            val cancel = remote.execute(address = action.ownerAddress, submission = submission, sink = sink)
            session.onCancel(action.attempt, cancel)
        }
    }

    /** Ends a completion with a problem. */
    fun fail(action: Action.FailRequest) {
        sessions.remove(action.requestId)?.fail(action.problem)
    }

    private fun checkSessions() = sessions.values.forEach { session ->
        val prefillMillis = session.request.promptTokens / SLOWEST_PREFILL_TOKENS_PER_MILLI
        session.pollProgressedAttempt()?.let { control.post(Event.AttemptProgressed(session.request.id, attempt = it)) }
        session.checkStall(firstTokenTimeoutMillis = FIRST_TOKEN_TIMEOUT_MILLIS + prefillMillis)
    }
}

private const val CHECK_MILLIS = 250L
private const val FIRST_TOKEN_TIMEOUT_MILLIS = 10_000L
private const val SLOWEST_PREFILL_TOKENS_PER_MILLI = 5L
