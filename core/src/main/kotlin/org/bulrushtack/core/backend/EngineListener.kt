package org.bulrushtack.core.backend

import org.bulrushtack.core.error.Problem

/**
 * Receives the events of one completion on an engine, on a network thread. No event follows [onFinished], [onRejected],
 * [onNotSent] or [onLost].
 */
public interface EngineListener {
    /** The engine accepted the request; [incarnation] identifies its current run. */
    public fun onAccepted(incarnation: String)

    /** Tokens arrived; [offset] is the number of tokens before them. */
    public fun onChunk(offset: Long, tokens: Long, text: String)

    /** The engine finished the completion, which has [totalTokens] tokens in all. */
    public fun onFinished(totalTokens: Long, reason: String, incarnation: String?)

    /** The engine rejected the request and holds nothing for it. */
    public fun onRejected(problem: Problem, incarnation: String?)

    /** No byte was sent. */
    public fun onNotSent(detail: String)

    /** The connection was lost; the engine may still hold the request. */
    public fun onLost(detail: String, incarnation: String?)
}
