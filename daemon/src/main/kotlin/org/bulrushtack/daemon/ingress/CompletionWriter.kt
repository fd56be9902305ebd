package org.bulrushtack.daemon.ingress

import org.bulrushtack.core.error.Problem

/** Writes a completion to its caller. */
internal interface CompletionWriter {
    /** Whether more may be written; false while the caller reads too slowly. */
    val isReady: Boolean

    /** Registers a listener that runs when [isReady] becomes true again. */
    fun onReady(listener: () -> Unit)

    /** Writes [text] with its [tokens] tokens; [offset] is the number of tokens before them. */
    fun chunk(offset: Long, tokens: Long, text: String)

    /** Ends a completion that was written in full. */
    fun finish(totalTokens: Long, reason: String)

    /** Ends the completion with a problem. */
    fun fail(problem: Problem)
}
