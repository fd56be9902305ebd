package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.lifecycle.DaemonMetrics

/** Reports completion events to the controllers, the metrics and the log; calls [onFinished] when one has ended. */
internal class CompletionReporter(
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val metrics: DaemonMetrics,
    private val onFinished: (CompletionSession) -> Unit,
) : SessionObserver {
    private val log = ComponentLog(component = "request")

    override fun firstTokenReceived(session: CompletionSession) = metrics.recordTimeToFirstToken(
        promptTokens = session.request.promptTokens,
        millis = clock.nowMillis() - session.request.receivedAtMillis,
    )

    override fun attemptFailed(session: CompletionSession, attempt: Int, problem: Problem, reachedServer: Boolean) {
        log.info { "request=${session.request.id} attempt=$attempt failed: ${problem.kind.code}. ${problem.detail}" }
        metrics.countFailedAttempt(problem.kind)
        control.post(
            Event.AttemptFailed(
                requestId = session.request.id,
                attempt = attempt,
                problem = problem,
                reachedServer = reachedServer,
            ),
        )
    }

    override fun finished(session: CompletionSession) {
        metrics.countAnsweredCompletion(tokens = session.tokensReceived)
        reportOutcome(session = session, outcome = "answered")
    }

    override fun failed(session: CompletionSession, problem: Problem) {
        metrics.countProblem(problem.kind)
        reportOutcome(session = session, outcome = problem.kind.code)
    }

    override fun abandoned(session: CompletionSession) {
        metrics.countAbandonedCompletion()
        reportOutcome(session = session, outcome = "abandoned")
    }

    private fun reportOutcome(session: CompletionSession, outcome: String) {
        val request = session.request
        val millis = clock.nowMillis() - request.receivedAtMillis
        log.info {
            "request=${request.id} workspace=${request.workspace} prompt=${request.promptTokens} " +
                "tokens=${session.tokensReceived} millis=$millis outcome=$outcome."
        }
        onFinished(session)
        control.post(Event.RequestEnded(request.id))
    }
}
