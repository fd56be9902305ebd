package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.error.Problem

/** Hears how completions go. */
internal interface SessionObserver {
    /** The first token is about to be written. */
    fun firstToken(session: CompletionSession)

    /** An attempt failed; the completion may go on with another. */
    fun attemptFailed(session: CompletionSession, attempt: Int, problem: Problem, reachedServer: Boolean)

    /** The whole answer was written. */
    fun finished(session: CompletionSession)

    /** The answer ended with a problem. */
    fun failed(session: CompletionSession, problem: Problem)

    /** The caller went away before the end. */
    fun abandoned(session: CompletionSession)
}
