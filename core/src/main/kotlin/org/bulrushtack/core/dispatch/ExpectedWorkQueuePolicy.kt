package org.bulrushtack.core.dispatch

/**
 * Short work first, with ageing: work goes ahead of longer work that came up to [ageingFactor] times the
 * difference of their expected times before it, and of nothing that came earlier than that.
 */
public class ExpectedWorkQueuePolicy(
    private val ageingFactor: Long = DEFAULT_AGEING_FACTOR,
) : QueuePolicy {
    override fun rank(work: Work): Long = work.receivedAtMillis + ageingFactor * work.expectedMillis
}

private const val DEFAULT_AGEING_FACTOR = 4L
