package org.bulrushtack.core.request

/**
 * A completion request of a caller, without its prompt.
 *
 * @property promptTokens estimated tokens of the prompt
 * @property maximumTokens the most tokens of the completion
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
    /** Engine memory for the prompt and the whole completion, in tokens. */
    val reservedTokens: Long get() = promptTokens + maximumTokens
}
