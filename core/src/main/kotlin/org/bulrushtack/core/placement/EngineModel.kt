package org.bulrushtack.core.placement

import org.bulrushtack.core.route.EngineProfile

/** Predicts how long an engine with the figures of [profile] takes. */
public class EngineModel(
    private val profile: EngineProfile,
) {
    /** The time to read a whole prompt of [tokens] on one engine that does nothing else. */
    public fun readMillis(tokens: Long): Double {
        val millionPairs = tokens.toDouble() * tokens / 2 / MILLION
        return tokens / profile.readTokensPerMilli + millionPairs * profile.pairMillis
    }

    /** The time of a pass in which [residents] write and nothing is read. */
    public fun passMillis(residents: Collection<EngineAllocation>): Double {
        val writers = residents.count { it.writes }
        val context = residents.sumOf { it.contextTokens }
        val step = profile.stepMillis + writers * profile.requestMillis + context / THOUSAND * profile.contextMillis
        return profile.stride * step
    }

    /** The time that reading may add to one pass at most; what is left is read in the next pass. */
    public fun longestReadMillis(readMillis: Double, tokens: Long): Double {
        val tokensPerPass = profile.stride.toLong() * profile.chunkTokens
        return if (tokens <= tokensPerPass) readMillis else readMillis * tokensPerPass / tokens
    }
}

private const val MILLION = 1_000_000.0
private const val THOUSAND = 1_000.0
