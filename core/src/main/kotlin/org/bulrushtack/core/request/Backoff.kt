package org.bulrushtack.core.request

import kotlin.random.Random

/** Exponential backoff between attempts: the ceiling doubles each time, and the upper half of it is jitter. */
public class Backoff(
    private val random: Random,
    private val firstMillis: Long = DEFAULT_FIRST_MILLIS,
    private val maximumMillis: Long = DEFAULT_MAXIMUM_MILLIS,
) {
    /** Returns the delay after failure number [failures], from 1. */
    public fun delayMillis(failures: Int): Long {
        val doublings = (failures - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        val ceiling = minOf(maximumMillis, firstMillis shl doublings)
        return ceiling / 2 + random.nextLong(ceiling / 2 + 1)
    }
}

private const val DEFAULT_FIRST_MILLIS = 100L
private const val DEFAULT_MAXIMUM_MILLIS = 2_000L
private const val MAXIMUM_DOUBLINGS = 10
