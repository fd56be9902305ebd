package org.bulrushtack.core.placement

/**
 * The size of a prompt and of its answer, in tokens.
 *
 * @property answerTokens what the answer is expected to hold
 * @property maximumAnswerTokens what the answer may hold at most
 */
public data class PromptShape(
    val promptTokens: Long,
    val answerTokens: Long,
    val maximumAnswerTokens: Long,
)
