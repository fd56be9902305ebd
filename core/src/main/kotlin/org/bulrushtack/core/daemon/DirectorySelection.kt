package org.bulrushtack.core.daemon

import kotlin.random.Random

/**
 * Selects the daemons that one response of the directory names. Callers take one of them at random, so that a response
 * names fewer daemons the more uneven their shares are, and a daemon stands in more responses the larger its share is.
 */
public class DirectorySelection(
    private val random: Random,
) {
    /** The daemons to name among [daemons], in random order. */
    public fun select(daemons: List<DaemonInfo>): List<DaemonInfo> {
        val shares = if (daemons.isEmpty()) emptyList() else DirectoryShares.of(daemons)
        val size = size(shares)
        return if (size >= daemons.size) {
            daemons.shuffled(random)
        } else {
            sample(daemons.zip(shares).shuffled(random), size).shuffled(random)
        }
    }

    /** With this many names no daemon has to stand in a response twice, or only if that leaves callers no choice. */
    private fun size(shares: List<Double>): Int {
        val largest = shares.maxOrNull() ?: 0.0
        val exact = if (largest > 0) (1 / largest + ROUNDING).toInt() else 0
        return exact.coerceAtLeast(MINIMUM_NAMES).coerceAtMost(minOf(MAXIMUM_NAMES, shares.size))
    }

    /**
     * Selects [size] daemons, each with [size] times its share as its probability (systematic sampling): marks at equal
     * distances on the line of shares, of which each daemon takes at most one.
     */
    private fun sample(daemons: List<Pair<DaemonInfo, Double>>, size: Int): List<DaemonInfo> {
        val probabilities = probabilities(daemons.map { it.second }, size)
        var end = random.nextDouble()
        var marks = 0
        return daemons.filterIndexed { index, _ ->
            end += probabilities[index]
            val isMarked = end.toInt() > marks
            marks = end.toInt()
            isMarked
        }.map { it.first }
    }

    /** A daemon whose probability would be above 1 is always named; the others share the remaining names. */
    private fun probabilities(shares: List<Double>, size: Int): List<Double> {
        val always = HashSet<Int>()
        var probabilities = shares.map { it * size }
        while (probabilities.indices.any { it !in always && probabilities[it] > 1 }) {
            probabilities.indices.filterTo(always) { probabilities[it] >= 1 }
            val total = shares.filterIndexed { index, _ -> index !in always }.sum()
            probabilities = shares.mapIndexed { index, share ->
                if (index in always) 1.0 else share / total * (size - always.size)
            }
        }
        return probabilities
    }
}

/** Callers read at most this many addresses. */
private const val MAXIMUM_NAMES = 64

/** A caller that finds one daemon gone has others to try. */
private const val MINIMUM_NAMES = 3

/** Equal shares are rounded down by less than this. */
private const val ROUNDING = 1e-6
