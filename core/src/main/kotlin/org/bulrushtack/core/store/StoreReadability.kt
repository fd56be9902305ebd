package org.bulrushtack.core.store

/**
 * Judges whether this daemon can read the store: it can't from the moment on when a poll fails, or has had no reply for
 * longer than usual, until a poll succeeds. A topic that alone can't be read says nothing about the store.
 */
public class StoreReadability {
    private val sentAtMillis = HashMap<StoreTopic, Long>()
    private val failedPolls = HashMap<StoreTopic, Long>()
    private val brokenTopics = HashSet<StoreTopic>()
    private var readSentAtMillis = NEVER_MILLIS

    /** How long a poll may go without a reply; a slow store that responds doesn't count as unreadable each time. */
    public var silenceMillis: Long = SILENCE_MILLIS
        private set

    /** Whether the store can't be read at present. */
    public var isUnreadable: Boolean = false
        private set

    /** Records that a poll of [topic] was sent at [nowMillis]. */
    public fun recordSent(topic: StoreTopic, nowMillis: Long) {
        sentAtMillis[topic] = nowMillis
    }

    /** Records that the poll of [topic] succeeded. */
    public fun recordSuccess(topic: StoreTopic, nowMillis: Long) {
        val sent = sentAtMillis.remove(topic) ?: nowMillis
        readSentAtMillis = maxOf(readSentAtMillis, sent)
        silenceMillis = maxOf(SILENCE_MILLIS, nowMillis - sent + SLOWER_MILLIS)
        failedPolls.remove(topic)
        brokenTopics.remove(topic)
        brokenTopics.addAll(failedPolls.keys)
        isUnreadable = false
    }

    /** Records that the poll of [topic] failed. */
    public fun recordFailure(topic: StoreTopic, nowMillis: Long) {
        val sent = sentAtMillis.remove(topic) ?: nowMillis
        failedPolls[topic] = sent
        if (sent <= readSentAtMillis) brokenTopics.add(topic)
        review(nowMillis)
    }

    /** Looks for polls without a reply. While another poll may still succeed, a failed one is no reason yet. */
    public fun review(nowMillis: Long) {
        val relevant = sentAtMillis.filter { (topic, sent) -> topic !in brokenTopics && sent > readSentAtMillis }
        val isSilent = relevant.values.any { nowMillis - it >= silenceMillis }
        val mayRespond = relevant.values.any { nowMillis - it < silenceMillis }
        val hasFailed = failedPolls.any { (topic, sent) -> topic !in brokenTopics && sent > readSentAtMillis }
        if (isSilent || (hasFailed && !mayRespond)) isUnreadable = true
    }
}

/** About ten round trips between data centres. */
private const val SILENCE_MILLIS = 400L

/** How much longer than the last poll the next one may take. */
private const val SLOWER_MILLIS = 100L
private const val NEVER_MILLIS = Long.MIN_VALUE / 2
