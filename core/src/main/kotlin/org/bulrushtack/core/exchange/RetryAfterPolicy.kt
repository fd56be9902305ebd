package org.bulrushtack.core.exchange

import kotlin.random.Random

/** Computes the retry delay for callers whose request did not run, with jitter so that they don't return together. */
public class RetryAfterPolicy(
    private val random: Random,
) {
    /** The delay to suggest while [waiting] requests are queued for [servers] servers. */
    public fun delayMillis(waiting: Int = 0, servers: Int = 1): Long {
        val queueMillis = MINIMUM_DELAY_MILLIS * waiting / maxOf(1, servers)
        val spreadMillis = maxOf(MINIMUM_DELAY_MILLIS, queueMillis).coerceAtMost(MAXIMUM_SPREAD_MILLIS)
        return MINIMUM_DELAY_MILLIS + random.nextLong(spreadMillis)
    }
}

/** About the time that a server takes for a short answer. */
private const val MINIMUM_DELAY_MILLIS = 500L

/** Callers that would wait longer than this had better try elsewhere. */
private const val MAXIMUM_SPREAD_MILLIS = 3_000L
