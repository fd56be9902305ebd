package org.bulrushtack.forward.store

import org.bulrushtack.core.daemon.DaemonTable

/**
 * Remembers for how long this daemon heard no other one. In such a time it can't tell an outage of the store, of which
 * others know as well, from its own loss of contact.
 */
internal class PeerSilence(
    private val daemons: DaemonTable,
) {
    private val silences = ArrayDeque<LongRange>()
    private var heardAtMillis: Long? = null

    /** Takes in when other daemons were last heard; called often, and before records of other daemons are used. */
    fun tick(nowMillis: Long) {
        val latest = daemons.directContacts(nowMillis).maxOfOrNull { it.lastSeenAtMillis }
        val previous = heardAtMillis ?: latest
        if (latest != null && previous != null) {
            if (latest - previous > ORDINARY_MILLIS) silences.addLast(previous..latest)
            if (silences.size > MAXIMUM_SILENCES) silences.removeFirst()
            heardAtMillis = maxOf(previous, latest)
        }
    }

    /**
     * How long nobody was heard between [fromMillis] and [toMillis], without pauses as they are between two syncs. A
     * daemon that was alone before [fromMillis] already has nobody to hear; the result is 0 then.
     */
    fun unheardMillis(fromMillis: Long, toMillis: Long): Long {
        val current = heardAtMillis?.let { it..toMillis }
        return (silences + listOfNotNull(current))
            .filter { it.first >= fromMillis - ALONE_MILLIS && it.last - it.first > ORDINARY_MILLIS }
            .sumOf { maxOf(0, minOf(it.last, toMillis) - maxOf(it.first, fromMillis)) }
    }
}

/** Two syncs of which one fails by its time limit. */
private const val ORDINARY_MILLIS = 1_000L

/** The liveness time of daemons. */
private const val ALONE_MILLIS = 1_600L

/** More than fit into an outage of a minute. */
private const val MAXIMUM_SILENCES = 64
