package org.bulrushtack.bench

/**
 * The result of a completion as its caller saw it.
 *
 * @property outcome whether it was answered completely, refused or lost
 * @property kind the error kind of a refusal, or an empty string
 * @property firstTokenNanos time from the scheduled start to the first token, or null when none arrived
 */
data class CompletionResult(
    val outcome: Outcome,
    val promptTokens: Int,
    val kind: String = "",
    val firstTokenNanos: Long? = null,
    val totalNanos: Long = 0,
) {
    /** The possible outcomes. */
    enum class Outcome {
        /** Every token of the expected answer arrived once and in order. */
        ANSWERED,

        /** An error response (problem document) arrived. */
        REFUSED,

        /** Neither arrived, or tokens were missing, duplicated or of another answer. */
        LOST,
    }
}
