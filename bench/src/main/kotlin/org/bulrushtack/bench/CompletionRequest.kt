package org.bulrushtack.bench

/**
 * One completion request to send.
 *
 * @property intendedAtNanos scheduled send time by the monotonic clock; latencies are measured from here
 */
class CompletionRequest(
    val prompt: String,
    val answerTokens: Int,
    val intendedAtNanos: Long,
    val model: String = "atlas",
    val deadlineSeconds: Int = 60,
) {
    /** The prompt's length in tokens, by the same estimate that the system uses. */
    val promptTokens: Int get() = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

    companion object {
        /** Characters of a prompt that count as one token. */
        const val CHARACTERS_PER_TOKEN: Int = 4
    }
}
