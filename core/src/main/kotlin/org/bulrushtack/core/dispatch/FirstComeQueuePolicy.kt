package org.bulrushtack.core.dispatch

/** First come, first served: the baseline. */
public class FirstComeQueuePolicy : QueuePolicy {
    override fun rank(work: Work): Long = work.receivedAtMillis
}
