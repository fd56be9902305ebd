package org.bulrushtack.core.dispatch

/**
 * Shortest job first with ageing: work goes ahead of longer work that arrived at most [ageingFactor] times the
 * difference of their expected times earlier, and never ahead of work that arrived before that.
 */
public class ExpectedWorkQueuePolicy(
    private val ageingFactor: Long = DEFAULT_AGEING_FACTOR,
) : QueuePolicy {
    override fun rank(work: Work): Long = work.receivedAtMillis + ageingFactor * work.expectedMillis
}

private const val DEFAULT_AGEING_FACTOR = 4L
