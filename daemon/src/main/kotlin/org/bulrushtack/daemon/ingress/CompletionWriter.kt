package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.error.Problem

/** Writes the answer of a completion to its caller. */
internal interface CompletionWriter {
    /** Whether the caller has read enough for more to be written. */
    val isReady: Boolean

    /** Registers what is to run when [isReady] becomes true again. */
    fun onReady(listener: () -> Unit)

    /** Writes tokens that come after [offset] others. */
    fun chunk(offset: Long, tokens: Long, text: String)

    /** Ends a whole answer. */
    fun finish(totalTokens: Long, reason: String)

    /** Ends the answer with a problem. */
    fun fail(problem: Problem)
}
