package org.bulrushtack.core.backend

import org.bulrushtack.core.error.Problem

/** Hears of one completion on an engine, on a network thread. After an end or a failure nothing more is said. */
public interface EngineListener {
    /** The engine took the request and named its [incarnation]. */
    public fun onAccepted(incarnation: String)

    /** Tokens arrived; [offset] counts those before them. */
    public fun onChunk(offset: Long, tokens: Long, text: String)

    /** The engine ended the answer of [totalTokens] tokens in all. */
    public fun onFinished(totalTokens: Long, reason: String, incarnation: String?)

    /** The engine refused it; it holds nothing for it. */
    public fun onRefused(problem: Problem, incarnation: String?)

    /** No byte was sent. */
    public fun onNotSent(detail: String)

    /** The connection was lost; the engine may still hold the request. */
    public fun onLost(detail: String, incarnation: String?)
}
