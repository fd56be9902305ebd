package org.bulrushtack.core.exchange

import kotlin.random.Random

/** Tells callers whose request did not run when to come back, spread so that they don't all return at once. */
public class RetryAfterPolicy(
    private val random: Random,
) {
    /** The advice while [waiting] requests wait for [servers] servers. */
    public fun afterMillis(waiting: Int = 0, servers: Int = 1): Long {
        val queueMillis = SHORTEST_MILLIS * waiting / maxOf(1, servers)
        val spreadMillis = maxOf(SHORTEST_MILLIS, queueMillis).coerceAtMost(LONGEST_SPREAD_MILLIS)
        return SHORTEST_MILLIS + random.nextLong(spreadMillis)
    }
}

/** About the time in which a server ends a short answer. */
private const val SHORTEST_MILLIS = 500L

/** Callers that are told more than that do better to ask elsewhere. */
private const val LONGEST_SPREAD_MILLIS = 3_000L
