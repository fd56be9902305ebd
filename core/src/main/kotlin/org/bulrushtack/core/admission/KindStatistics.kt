package org.bulrushtack.core.admission

import kotlin.math.exp

/** The sizes, the rate and the served shares of the requests of one kind. */
internal class KindStatistics {
    private val sizes = ArrayDeque<Long>()
    private var sorted = emptyList<Long>()
    private var arrived = 0.0
    private var updatedAtMillis = 0L
    private val all = ServedShare()
    private val bySize = SizeClass.entries.associateWith { ServedShare() }

    /** The mean number of requests in the time constant of the rate. */
    val rate: Double get() = maxOf(1.0, arrived)

    fun recordArrival(tokens: Long, nowMillis: Long) {
        arrived = arrived * exp(-maxOf(0, nowMillis - updatedAtMillis) / RATE_MILLIS) + 1
        updatedAtMillis = nowMillis
        sizes.addLast(tokens)
        if (sizes.size > MAXIMUM_SIZES) sizes.removeFirst()
        sorted = emptyList()
    }

    fun recordDecision(tokens: Long, wasServed: Boolean) {
        all.record(wasServed)
        bySize.getValue(sizeClass(tokens)).record(wasServed)
    }

    /** What callers lose with a request of [tokens], against the mean of the kind. */
    fun worth(tokens: Long): Double {
        val known = known()
        // A single absurd token count must not make all others of its kind look small.
        val bound = known.getOrElse(known.size * TOP_TENTH / PARTS) { tokens } * MAXIMUM_WORTH
        val mean = if (known.isEmpty()) tokens.toDouble() else known.sumOf { minOf(it.toDouble(), bound) } / known.size
        return minOf(MAXIMUM_WORTH, BASE_WORTH + (1 - BASE_WORTH) * tokens / maxOf(1.0, mean))
    }

    /** Whether requests of this size have been served too rarely, compared with the kind. */
    fun isNeglected(tokens: Long): Boolean =
        bySize.getValue(sizeClass(tokens)).value < all.value * MINIMUM_SIZE_SHARE

    private fun sizeClass(tokens: Long): SizeClass {
        val known = known()
        return when {
            known.size < MINIMUM_SIZES -> SizeClass.REST
            tokens >= known[known.size * TOP_TENTH / PARTS] -> SizeClass.LARGEST_TENTH
            tokens >= known[known.size * TOP_THREE_TENTHS / PARTS] -> SizeClass.NEXT_FIFTH
            else -> SizeClass.REST
        }
    }

    private fun known(): List<Long> {
        if (sorted.isEmpty()) sorted = sizes.sorted()
        return sorted
    }

    private enum class SizeClass { LARGEST_TENTH, NEXT_FIFTH, REST }
}

/** Covers several turns of the mix, so that a burst of a kind does not lower what its requests count. */
private const val RATE_MILLIS = 60_000.0
private const val MAXIMUM_SIZES = 200
private const val MINIMUM_SIZES = 10

/** Bounds of the size classes, in tenths of the sorted sizes. */
private const val PARTS = 10
private const val TOP_TENTH = 9
private const val TOP_THREE_TENTHS = 7

/** A request counts 0.3 and 0.7 times its size against the mean of its kind, at most 4. */
private const val BASE_WORTH = 0.3
private const val MAXIMUM_WORTH = 4.0

/** Each size has to be served half as often as its kind; the rest is a margin. */
private const val MINIMUM_SIZE_SHARE = 0.7
