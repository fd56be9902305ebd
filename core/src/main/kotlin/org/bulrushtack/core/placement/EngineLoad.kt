package org.bulrushtack.core.placement

/**
 * The load of one engine, as placement compares it.
 *
 * @property backlogMillis the time until the prefill of all its prompts is complete
 * @property passMillis the time of a pass without prefill
 * @property prefillShare the share of time that recently placed prompts take for their prefill, from 0 to 0.5
 * @property minimumTokenGapMillis the strictest token gap among the requests that decode here, or null without any
 * @property freeTokens memory that is not reserved
 * @property slowness the ratio of measured to predicted time
 */
internal data class EngineLoad(
    val serverId: String,
    val address: String,
    val dataCentre: String,
    val decodingRequests: Int,
    val backlogMillis: Double,
    val passMillis: Double,
    val prefillShare: Double,
    val minimumTokenGapMillis: Long?,
    val freeTokens: Long,
    val slowness: Double,
    val failureRate: Double,
) {
    val isIdle: Boolean get() = decodingRequests == 0 && backlogMillis <= 0

    /** Whether it may prefill a part for another engine; that part would go ahead of all unfinished prompts here. */
    val canHelp: Boolean get() = backlogMillis <= 0

    /** The time to the first token of a prompt whose prefill takes [prefillMillis] here. */
    fun timeToFirstTokenMillis(prefillMillis: Double): Double =
        (backlogMillis + prefillMillis + waitForPassesMillis) * slowness

    /** The time that the first token of a prompt takes beside the prefill. */
    val waitForPassesMillis: Double
        get() = (if (decodingRequests == 0) 1.0 else PASSES_BESIDE_DECODING) * passMillis / (1 - prefillShare)

    /** Whether a prefill of [prefillMillis] keeps the token gaps of the requests that decode here. */
    fun keepsTokenGaps(prefillMillis: Double): Boolean = minimumTokenGapMillis == null ||
        (passMillis + backlogMillis + prefillMillis) * slowness <= minimumTokenGapMillis * TOKEN_GAP_SHARE
}

/** On average half a pass remains when a request arrives; the next pass prefills its prompt, and one more decodes. */
private const val PASSES_BESIDE_DECODING = 2.5

/** The rest of a token gap is left for the network and for prompts that are longer than estimated. */
private const val TOKEN_GAP_SHARE = 0.85
