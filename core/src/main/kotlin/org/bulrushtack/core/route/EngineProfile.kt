package org.bulrushtack.core.route

/**
 * The published performance figures and capacities of a service's model engines.
 *
 * @property slots the number of requests that decode concurrently
 * @property memoryTokens the capacity of an engine's memory, in tokens of prompts and answers
 * @property stride the number of steps of a pass in which requests decode
 * @property stepMillis the base time of a step
 * @property requestMillis the time that each decoding request adds to a step
 * @property contextMillis the time that 1,000 context tokens of a decoding request add to a step
 * @property prefillTokensPerMilli the prompt tokens that are prefilled in a millisecond
 * @property attentionMillisPerMillionPairs the attention time for a million pairs of a token and an earlier one
 * @property chunkTokens the most prompt tokens that are prefilled in a step
 * @property hopMillis the time added to each step for a prompt that was prefilled on several engines
 * @property meanAnswerTokens the mean length of an answer
 */
public data class EngineProfile(
    val slots: Int,
    val memoryTokens: Long,
    val stride: Int,
    val stepMillis: Double,
    val requestMillis: Double,
    val contextMillis: Double,
    val prefillTokensPerMilli: Double,
    val attentionMillisPerMillionPairs: Double,
    val chunkTokens: Int,
    val hopMillis: Double,
    val meanAnswerTokens: Long,
)
