package org.bulrushtack.core.request

/**
 * A caller's completion, as the controllers see it.
 *
 * @property promptTokens estimated tokens of the prompt
 * @property maximumTokens the most tokens of the answer
 */
public data class CompletionRequest(
    val id: String,
    val workspace: String,
    val model: String,
    val promptTokens: Long,
    val maximumTokens: Long,
    val receivedAtMillis: Long,
    val deadlineAtMillis: Long,
) {
    /** Engine memory for prompt and whole answer, in tokens. */
    val reservedTokens: Long get() = promptTokens + maximumTokens
}
