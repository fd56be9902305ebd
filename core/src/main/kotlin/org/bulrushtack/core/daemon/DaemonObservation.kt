package org.bulrushtack.core.daemon

/**
 * The latest information about another daemon.
 *
 * @property lastSeenAtMillis the steady time at which this daemon or a reporting peer last had contact with it
 * @property lastContactAtMillis the steady time of its last direct contact with this daemon, or null
 */
public data class DaemonObservation(
    val daemon: DaemonInfo,
    val lastSeenAtMillis: Long,
    val lastContactAtMillis: Long? = null,
) {
    /**
     * Merges [other] into this observation. Within one incarnation the higher revision wins, whether it came directly
     * or through a peer.
     */
    internal fun with(other: DaemonObservation): DaemonObservation {
        val isLater = other.lastSeenAtMillis > lastSeenAtMillis
        val isSameIncarnation = other.daemon.incarnation == daemon.incarnation
        val isChange = isSameIncarnation && other.daemon.revision != daemon.revision
        val replaces = if (isChange) other.daemon.revision > daemon.revision else isLater
        val latest = if (replaces) other.daemon else daemon
        // A report that came through a daemon of an older build lacks what it doesn't know of the same revision.
        val isUnreadable = isSameIncarnation && !isChange && (daemon.storeUnreadable || other.daemon.storeUnreadable)
        return DaemonObservation(
            daemon = if (isUnreadable) latest.copy(storeUnreadable = true) else latest,
            lastSeenAtMillis = maxOf(lastSeenAtMillis, other.lastSeenAtMillis),
            lastContactAtMillis = other.lastContactAtMillis ?: lastContactAtMillis,
        )
    }
}
