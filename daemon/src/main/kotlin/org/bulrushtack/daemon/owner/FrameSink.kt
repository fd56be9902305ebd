package org.bulrushtack.daemon.owner

import org.bulrushtack.core.error.Problem

/** Receives the answer of one attempt at the owner and passes it to the ingress daemon. */
interface FrameSink {
    /** Whether more frames may be sent now; when this becomes true again, the sink calls the listener of [onReady]. */
    val isReady: Boolean

    /** Registers the [listener] that is called when [isReady] becomes true again. */
    fun onReady(listener: () -> Unit)

    /** The attempt left the owner's queue. */
    fun started()

    /** Tokens of the answer; [offset] is the number of tokens before them. */
    fun chunk(offset: Long, tokens: Long, text: String)

    /** The answer is complete. */
    fun finished(totalTokens: Long, reason: String)

    /** The attempt failed or was refused. */
    fun failed(problem: Problem)
}
