package org.bulrushtack.bench

/**
 * One completion to be sent.
 *
 * @property intendedAtNanos when it was to be sent, by the monotonic clock; latencies count from here
 */
class CompletionLoad(
    val prompt: String,
    val answerTokens: Int,
    val intendedAtNanos: Long,
    val model: String = "atlas",
    val deadlineSeconds: Int = 60,
) {
    /** The prompt's tokens, as the system estimates them. */
    val promptTokens: Int get() = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

    companion object {
        /** Characters of a prompt for each token. */
        const val CHARACTERS_PER_TOKEN: Int = 4
    }
}
