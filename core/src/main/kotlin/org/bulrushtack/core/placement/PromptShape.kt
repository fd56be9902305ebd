package org.bulrushtack.core.placement

/**
 * The size of a prompt and of its answer, in tokens.
 *
 * @property answerTokens the expected length of the answer
 * @property maximumAnswerTokens the maximum length of the answer
 */
public data class PromptShape(
    val promptTokens: Long,
    val answerTokens: Long,
    val maximumAnswerTokens: Long,
)
