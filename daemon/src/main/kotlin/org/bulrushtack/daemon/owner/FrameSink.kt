package org.bulrushtack.daemon.owner

import org.bulrushtack.core.error.Problem

/** Takes the answer of one attempt at the owner and brings it to the daemon that took the request. */
interface FrameSink {
    /** Whether more may be sent now; when it becomes true again, the sink calls the listener of [onReady]. */
    val isReady: Boolean

    /** Registers what is to run when [isReady] becomes true again. */
    fun onReady(listener: () -> Unit)

    /** The attempt left the queue. */
    fun started()

    /** Tokens of the answer; [offset] counts those before them. */
    fun chunk(offset: Long, tokens: Long, text: String)

    /** The answer is whole. */
    fun finished(totalTokens: Long, reason: String)

    /** The attempt failed or was refused. */
    fun failed(problem: Problem)
}
