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

    /**
     * The delay to suggest when room for the request is expected in [roomInMillis], to a caller that has [leftMillis]
     * left. It lies within the third of that time up to which callers wait, unless the room is expected later than the
     * caller can use it.
     */
    public fun delayMillis(roomInMillis: Double, leftMillis: Long): Long {
        val usableMillis = maxOf(SHORTEST_DELAY_MILLIS, leftMillis / CALLERS_SHARE)
        val earliest = roomInMillis.coerceIn(SHORTEST_DELAY_MILLIS.toDouble(), LONGEST_DELAY_MILLIS.toDouble()).toLong()
        val spreadMillis = maxOf(SHORTEST_DELAY_MILLIS, earliest / 2)
        val delayMillis = earliest + random.nextLong(spreadMillis)
        val isUseful = roomInMillis <= leftMillis
        val isTooLong = isUseful && delayMillis > usableMillis
        return if (isTooLong) usableMillis - random.nextLong(usableMillis / 2) else delayMillis
    }
}

/** About the time that a server takes for a short answer. */
private const val MINIMUM_DELAY_MILLIS = 500L

/** Callers that would wait longer than this had better try elsewhere. */
private const val MAXIMUM_SPREAD_MILLIS = 3_000L

/** Callers wait for up to a third of the time that they have left. */
private const val CALLERS_SHARE = 3
private const val SHORTEST_DELAY_MILLIS = 100L
private const val LONGEST_DELAY_MILLIS = 30_000L
