package org.bulrushtack.forward.store

import org.bulrushtack.core.store.StoreTopic

/**
 * Decides how long a backend server counts whose entry was removed. In an outage of the store entries lapse although
 * their servers are alive; they are written again within two seconds of its return. A server whose entry is removed at
 * any other time has left.
 *
 * An entry lapses after three heartbeat intervals of silence, of which one may be over when an outage begins. A time of
 * two intervals in which no daemon read the store may be an outage in which nothing lapsed, or the time that the
 * daemons took to replace the one that reads for all; it makes no difference. Neither does a time in which this daemon
 * heard nobody: others may have read the store meanwhile.
 *
 * @param heartbeatMillis how often a server writes its entry
 */
internal class LapsedEntryPolicy(
    heartbeatMillis: Long,
) {
    private val minimumOutageMillis = maxOf(HEARTBEATS_WITHOUT_LAPSE * heartbeatMillis, READER_REPLACEMENT_MILLIS)
    private val returnedAtMillis = HashMap<StoreTopic, Long>()

    /**
     * Records that [topic] was read from the store after no daemon is known to have read it for [unreadMillis], of
     * which this daemon heard no other one for [unheardMillis]. Returns whether entries may have lapsed in this time.
     */
    fun recordRead(topic: StoreTopic, unreadMillis: Long, unheardMillis: Long, nowMillis: Long): Boolean {
        val isOutage = unreadMillis - unheardMillis > minimumOutageMillis
        if (isOutage) returnedAtMillis[topic] = nowMillis
        return isOutage
    }

    /** Records that [topic] came back from an older copy; what the copy lacks is written again as after an outage. */
    fun recordRestored(topic: StoreTopic, nowMillis: Long) {
        returnedAtMillis[topic] = nowMillis
    }

    /** How long a server whose entry in [topic] is found removed at [nowMillis] still counts. */
    fun dropDelayMillis(topic: StoreTopic, nowMillis: Long): Long =
        returnedAtMillis[topic]?.let { maxOf(0, it + REWRITE_MILLIS - nowMillis) } ?: 0
}

private const val HEARTBEATS_WITHOUT_LAPSE = 2L

/** The longest time for which the store is not read while several daemons in turn can't. */
private const val READER_REPLACEMENT_MILLIS = 2_000L

/** Lapsed entries of live servers return about two seconds after the store does. */
private const val REWRITE_MILLIS = 2_200L
