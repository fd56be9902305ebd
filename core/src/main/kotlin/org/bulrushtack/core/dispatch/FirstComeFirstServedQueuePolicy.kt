package org.bulrushtack.core.dispatch

/** First come, first served; the baseline for comparison with other policies. */
public class FirstComeFirstServedQueuePolicy : QueuePolicy {
    override fun rank(work: Work): Long = work.receivedAtMillis
}
