package org.bulrushtack.core.duty

import kotlin.random.Random

/** The delays between the attempts of one duty: they double from 500 ms to 4 s, each with jitter. */
public class RetryDelay(
    private val random: Random,
) {
    private var failures = 0

    /** Records a failure and returns how long to wait after it. */
    public fun nextMillis(): Long {
        val millis = minOf(MAXIMUM_MILLIS, INITIAL_MILLIS shl minOf(failures, MAXIMUM_DOUBLINGS))
        failures += 1
        return millis - random.nextLong(millis / JITTER_DIVISOR)
    }

    /** Starts again from the shortest delay. */
    public fun reset() {
        failures = 0
    }
}

private const val INITIAL_MILLIS = 500L
private const val MAXIMUM_MILLIS = 4_000L
private const val MAXIMUM_DOUBLINGS = 3

/** The jitter takes off up to a fifth. */
private const val JITTER_DIVISOR = 5
