package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.error.Problem

/** Records the numbers of the attempts that failed. */
internal class FakeSessionObserver : SessionObserver {
    val failedAttempts = mutableListOf<Int>()

    override fun firstTokenReceived(session: CompletionSession) = Unit

    override fun attemptFailed(session: CompletionSession, attempt: Int, problem: Problem, reachedServer: Boolean) {
        failedAttempts.add(attempt)
    }

    override fun finished(session: CompletionSession) = Unit

    override fun failed(session: CompletionSession, problem: Problem) = Unit

    override fun abandoned(session: CompletionSession) = Unit
}
