package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.error.Problem

/** Receives the events of completion sessions. */
internal interface SessionObserver {
    /** The first chunk arrived and is about to be written to the caller. */
    fun firstTokenReceived(session: CompletionSession)

    /** An attempt failed; another attempt may continue the completion. */
    fun attemptFailed(session: CompletionSession, attempt: Int, problem: Problem, reachedServer: Boolean)

    /** The completion was written to its end. */
    fun finished(session: CompletionSession)

    /** The completion ended with a problem. */
    fun failed(session: CompletionSession, problem: Problem)

    /** The caller closed its connection before the completion ended. */
    fun abandoned(session: CompletionSession)
}
