package org.bulrushtack.core.placement

import org.bulrushtack.core.route.EngineProfile

/** Predicts the processing times of an engine with the figures of [profile]. */
public class EngineModel(
    private val profile: EngineProfile,
) {
    /** The time to prefill a whole prompt of [tokens] on one otherwise idle engine. */
    public fun prefillMillis(tokens: Long): Double {
        val millionPairs = tokens.toDouble() * tokens / 2 / MILLION
        return tokens / profile.prefillTokensPerMilli + millionPairs * profile.attentionMillisPerMillionPairs
    }

    /** The time to decode the whole answer to a prompt of [shape] on an engine that decodes nothing else. */
    public fun decodeMillis(shape: PromptShape): Double {
        val context = shape.promptTokens + shape.answerTokens
        val step = profile.stepMillis + profile.requestMillis + context / THOUSAND * profile.contextMillis
        return shape.answerTokens * (step + profile.hopMillis)
    }

    /**
     * The engine time that decoding the answer to a prompt of [shape] takes if as many such requests decode together as
     * the slots and a token gap of [tokenGapMillis] allow.
     */
    public fun decodeShareMillis(shape: PromptShape, tokenGapMillis: Long): Double {
        val context = shape.promptTokens + shape.answerTokens
        val requestMillis = profile.requestMillis + context / THOUSAND * profile.contextMillis
        val sharedMillis = tokenGapMillis.toDouble() / profile.stride - profile.stepMillis
        val fitting = if (requestMillis > 0) sharedMillis / requestMillis else Double.MAX_VALUE
        val requests = fitting.coerceIn(1.0, maxOf(1.0, profile.slots.toDouble())).toInt()
        return shape.answerTokens * (profile.stepMillis / requests + requestMillis)
    }

    /** The time of a pass that decodes the requests of [allocations] and prefills nothing. */
    public fun passMillis(allocations: Collection<EngineAllocation>): Double {
        val decoding = allocations.count { it.decodes }
        val context = allocations.sumOf { it.contextTokens }
        val step = profile.stepMillis + decoding * profile.requestMillis + context / THOUSAND * profile.contextMillis
        return profile.stride * step
    }

    /** The most that a prefill of [prefillMillis] may add to one pass; the rest is prefilled in the next passes. */
    public fun maximumPrefillMillisPerPass(prefillMillis: Double, tokens: Long): Double {
        val tokensPerPass = profile.stride.toLong() * profile.chunkTokens
        return if (tokens <= tokensPerPass) prefillMillis else prefillMillis * tokensPerPass / tokens
    }

    internal companion object {
        /** The numbers of engines among which a prefill may be split, the first engine included. */
        @Suppress("MagicNumber")
        val PART_COUNTS = listOf(1, 2, 3, 4, 6, 8, 12, 16)

        /** Shorter parts gain nothing, since a pass has to complete before their prefill starts. */
        const val MINIMUM_PART_MILLIS = 60.0
    }
}

private const val MILLION = 1_000_000.0
private const val THOUSAND = 1_000.0
