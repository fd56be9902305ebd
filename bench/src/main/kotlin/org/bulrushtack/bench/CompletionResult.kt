package org.bulrushtack.bench

/**
 * How a completion ended for its caller.
 *
 * @property outcome whether it was answered whole, refused, or lost
 * @property kind the kind of a refusal, or an empty string
 * @property firstTokenNanos from the intended start to the first token, or null
 */
data class CompletionResult(
    val outcome: Outcome,
    val promptTokens: Int,
    val kind: String = "",
    val firstTokenNanos: Long? = null,
    val totalNanos: Long = 0,
) {
    /** The ways to end. */
    enum class Outcome {
        /** Each token of the caller's own answer arrived once, in order. */
        ANSWERED,

        /** A problem document arrived. */
        REFUSED,

        /** Neither, or tokens of another answer, doubled or missing ones. */
        LOST,
    }
}
