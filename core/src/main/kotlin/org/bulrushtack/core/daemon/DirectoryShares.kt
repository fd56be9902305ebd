package org.bulrushtack.core.daemon

/** Works out which share of the callers each of several daemons should get. */
public object DirectoryShares {
    /** The share of each of [daemons], in their order; all together are 1. */
    public fun of(daemons: List<DaemonInfo>): List<Double> {
        val processors = relative(daemons.map { it.capacity })
        val links = relative(daemons.map { it.linkCapacity })
        val weights = daemons.mapIndexed { index, daemon ->
            val pressure = daemon.pressure.coerceIn(0, PER_CENT).toDouble() / PER_CENT
            val known = listOfNotNull(processors?.get(index), links?.get(index))
            (known.minOrNull() ?: 1.0) * (1 - pressure)
        }
        return withFloor(weights)
    }

    /** The ratio of each value to the mean of the known ones, 1 if it is unknown; null if all are unknown. */
    private fun relative(values: List<Long>): List<Double>? =
        values.filter { it > 0 }.takeIf { it.isNotEmpty() }?.average()?.let { mean ->
            values.map { if (it > 0) it / mean else 1.0 }
        }

    /** Raises the shares that are below the floor to it; the others share the rest by their [weights]. */
    private fun withFloor(weights: List<Double>): List<Double> {
        val floor = SMALLEST_SHARE_OF_EVEN / weights.size
        val raised = HashSet<Int>()
        var shares = scaled(weights, raised, floor)
        while (shares.indices.any { it !in raised && shares[it] < floor }) {
            shares.indices.filterTo(raised) { shares[it] <= floor }
            shares = scaled(weights, raised, floor)
        }
        return shares
    }

    private fun scaled(weights: List<Double>, raised: Set<Int>, floor: Double): List<Double> {
        val total = weights.filterIndexed { index, _ -> index !in raised }.sum()
        val rest = 1 - floor * raised.size
        return weights.mapIndexed { index, weight ->
            when {
                index in raised -> floor
                total > 0 -> weight / total * rest
                else -> rest / (weights.size - raised.size)
            }
        }
    }
}

private const val PER_CENT = 100L

/** Every ready daemon is named at least this part of the even share, so that callers notice when it has room again. */
private const val SMALLEST_SHARE_OF_EVEN = 0.25
