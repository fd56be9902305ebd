package org.bulrushtack.core.route

/**
 * The published speeds and sizes of a service's model engines.
 *
 * @property slots requests that write at the same time
 * @property memoryTokens tokens of prompts and answers that fit into an engine's memory
 * @property stride steps that a pass with writers takes
 * @property stepMillis the base time of a step
 * @property requestMillis what each writing request adds to a step
 * @property contextMillis what 1,000 tokens of context of a writing request add to a step
 * @property readTokensPerMilli prompt tokens that are read in a millisecond
 * @property pairMillis the time for a million pairs of a token and an earlier one
 * @property chunkTokens the most prompt tokens that are read in a step
 * @property hopMillis what each step takes longer for a prompt that was read on several engines
 * @property usualAnswerTokens the mean length of an answer
 */
public data class EngineProfile(
    val slots: Int,
    val memoryTokens: Long,
    val stride: Int,
    val stepMillis: Double,
    val requestMillis: Double,
    val contextMillis: Double,
    val readTokensPerMilli: Double,
    val pairMillis: Double,
    val chunkTokens: Int,
    val hopMillis: Double,
    val usualAnswerTokens: Long,
)
