package org.bulrushtack.core.placement

import kotlin.math.pow
import kotlin.math.sqrt

/**
 * Compares the failures of one server with those of the others of its service for the same kind of call. Some calls
 * fail often wherever they run; a server is worse only if it fails more often than chance explains.
 */
public class FailureComparison {
    private val tallies = HashMap<Key, Tally>()

    /** Records at [nowMillis] the end of a call of [kind] at server [id]. */
    public fun record(id: String, kind: String, failed: Boolean, nowMillis: Long) {
        tallies.getOrPut(Key(id, kind)) { Tally(nowMillis) }.add(failed, nowMillis)
        if (tallies.size > MAXIMUM_TALLIES) tallies.values.removeIf { it.calls(nowMillis) < FORGOTTEN_CALLS }
    }

    /** The share of calls of [kind] that fail at [id] beyond the share of [others] and beyond chance, from 0 to 1. */
    public fun excess(id: String, kind: String, others: Collection<String>, nowMillis: Long): Double {
        val own = tallies[Key(id, kind)] ?: return 0.0
        val peers = others.filter { it != id }.mapNotNull { tallies[Key(it, kind)] }
        val calls = own.calls(nowMillis)
        val peerCalls = peers.sumOf { it.calls(nowMillis) } + PRIOR_CALLS
        val usual = (peers.sumOf { it.failures(nowMillis) } + PRIOR_FAILURES) / peerCalls
        val deviation = sqrt(usual * (1 - usual) * (1 / maxOf(1.0, calls) + 1 / peerCalls))
        val rate = own.failures(nowMillis) / maxOf(1.0, calls)
        return maxOf(0.0, rate - usual - DEVIATIONS * deviation)
    }

    private data class Key(
        val id: String,
        val kind: String,
    )

    /** Counts that halve in each half-life. */
    private class Tally(
        private var atMillis: Long,
    ) {
        private var calls = 0.0
        private var failures = 0.0

        fun add(failed: Boolean, nowMillis: Long) {
            val share = share(nowMillis)
            calls = calls * share + 1
            failures = failures * share + if (failed) 1 else 0
            atMillis = nowMillis
        }

        fun calls(nowMillis: Long): Double = calls * share(nowMillis)

        fun failures(nowMillis: Long): Double = failures * share(nowMillis)

        private fun share(nowMillis: Long): Double = HALF.pow((nowMillis - atMillis) / HALF_LIFE_MILLIS)
    }
}

private const val HALF = 0.5
private const val HALF_LIFE_MILLIS = 30_000.0

/** Before there are any answers of other servers, one call in seven is taken to fail, as on the worst usual routes. */
private const val PRIOR_CALLS = 7.0
private const val PRIOR_FAILURES = 1.0

/** One server in fifteen is this far above the others by chance alone; it gets a little less for a while. */
private const val DEVIATIONS = 1.5

/** More pairs of servers and kinds than any service has; beyond it those without recent calls are forgotten. */
private const val MAXIMUM_TALLIES = 2_048
private const val FORGOTTEN_CALLS = 0.1
