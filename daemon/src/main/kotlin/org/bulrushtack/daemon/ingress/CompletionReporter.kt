package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.lifecycle.DaemonMetrics

/** Tells controllers, measures and the log how completions go; [onEnded] hears of each that ended. */
internal class CompletionReporter(
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val metrics: DaemonMetrics,
    private val onEnded: (CompletionSession) -> Unit,
) : SessionObserver {
    private val log = PartLog(part = "request")

    override fun firstToken(session: CompletionSession) = metrics.firstToken(
        promptTokens = session.request.promptTokens,
        millis = clock.nowMillis() - session.request.receivedAtMillis,
    )

    override fun attemptFailed(session: CompletionSession, attempt: Int, problem: Problem, reachedServer: Boolean) {
        log.info { "request=${session.request.id} attempt=$attempt failed: ${problem.kind.code}. ${problem.detail}" }
        metrics.attemptFailed(problem.kind)
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
        metrics.completionAnswered(tokens = session.tokensReceived)
        ended(session = session, outcome = "answered")
    }

    override fun failed(session: CompletionSession, problem: Problem) {
        metrics.refused(problem.kind)
        ended(session = session, outcome = problem.kind.code)
    }

    override fun abandoned(session: CompletionSession) {
        metrics.completionAbandoned()
        ended(session = session, outcome = "abandoned")
    }

    private fun ended(session: CompletionSession, outcome: String) {
        val request = session.request
        val millis = clock.nowMillis() - request.receivedAtMillis
        log.info {
            "request=${request.id} workspace=${request.workspace} prompt=${request.promptTokens} " +
                "tokens=${session.tokensReceived} millis=$millis outcome=$outcome."
        }
        onEnded(session)
        control.post(Event.RequestEnded(request.id))
    }
}
