package org.bulrushtack.core.daemon

/**
 * The failure detector of one daemon, [self], over the other forwarding daemons. The live one with the lowest rank
 * leads placement. Two daemons that briefly both act as leader only make worse placements, so no consensus is needed.
 */
public class DaemonTable(
    self: DaemonInfo,
) {
    private val observations = HashMap<String, DaemonObservation>()
    private val unresponsiveAtMillis = HashMap<String, Long>()
    private val addresses = HashMap<String, String>()

    /** The description of this daemon that its peers get. */
    public var self: DaemonInfo = self
        set(value) {
            field = value.copy(revision = field.revision + 1)
        }

    /**
     * Records that [daemon] was alive at [atMillis]; [direct] if it contacted this daemon, else a peer reported it.
     * Returns whether it is news that this daemon can or can't read the store.
     */
    public fun observe(daemon: DaemonInfo, atMillis: Long, direct: Boolean): Boolean {
        if (daemon.name == self.name) return false
        addresses[daemon.name] = daemon.peerAddress
        if (direct) unresponsiveAtMillis.remove(daemon.peerAddress)
        val lastContactAtMillis = if (direct) atMillis else null
        val known = observations[daemon.name]
        val latest = DaemonObservation(
            daemon = daemon,
            lastSeenAtMillis = atMillis,
            lastContactAtMillis = lastContactAtMillis,
        )
        val merged = known?.with(latest) ?: latest
        observations[daemon.name] = merged
        return merged.daemon.storeUnreadable != (known?.daemon?.storeUnreadable ?: false)
    }

    /** Records that a peer has withdrawn its report of [name], which then counts as dead without direct contact. */
    public fun withdrawReport(name: String, nowMillis: Long) {
        val known = observations[name] ?: return
        val lastSeenAtMillis = known.lastContactAtMillis ?: (nowMillis - LIVENESS_TIMEOUT_MILLIS)
        observations[name] = known.copy(lastSeenAtMillis = minOf(known.lastSeenAtMillis, lastSeenAtMillis))
    }

    /** Adds a daemon of which only the address is known; [label] identifies it in this table. */
    public fun addPeer(label: String, peerAddress: String) {
        if (peerAddress != self.peerAddress) addresses[label] = peerAddress
    }

    /** Records that the daemon at [peerAddress] failed to answer a request. */
    public fun markUnresponsive(peerAddress: String, nowMillis: Long) {
        unresponsiveAtMillis[peerAddress] = nowMillis
    }

    /** The live daemons with a rank, in no order, ready or not, without those that are leaving. */
    internal fun responsive(nowMillis: Long): List<DaemonInfo> {
        val unresponsive = unresponsiveAtMillis.filterValues { nowMillis - it < UNRESPONSIVE_MILLIS }.keys
        return (live(nowMillis) + self).filter { it.rank != null && !it.leaving && it.peerAddress !in unresponsive }
    }

    /** The other daemons that were seen within the liveness timeout. */
    public fun live(nowMillis: Long): List<DaemonInfo> =
        observations.values.filter { nowMillis - it.lastSeenAtMillis < LIVENESS_TIMEOUT_MILLIS }.map { it.daemon }

    /** Whether the daemon called [name] was seen within the liveness timeout. */
    public fun isLive(name: String, nowMillis: Long): Boolean =
        observations[name].let { it != null && nowMillis - it.lastSeenAtMillis < LIVENESS_TIMEOUT_MILLIS }

    /**
     * The other daemons with recent direct contact to this one, each with the time of that contact. Only these are
     * reported to peers: a report that is passed back to its origin would never expire.
     */
    public fun directContacts(nowMillis: Long): List<DaemonObservation> = observations.values.mapNotNull { known ->
        val lastContactAtMillis = known.lastContactAtMillis?.takeIf { nowMillis - it < LIVENESS_TIMEOUT_MILLIS }
        lastContactAtMillis?.let { known.copy(lastSeenAtMillis = it) }
    }

    /** The addresses of all known daemons, live or not, including this one. */
    public val knownAddresses: Set<String> get() = addresses.values.toSet() + self.peerAddress

    /** The number of known daemons, live or not, including this one. */
    public val knownCount: Int get() = knownAddresses.size

    /** Known addresses at which no daemon has been seen within the liveness timeout. */
    public fun unseenAddresses(nowMillis: Long): Set<String> =
        addresses.values.toSet() - live(nowMillis).map { it.peerAddress }.toSet() - self.peerAddress

    /** Removes the daemons that are past the liveness timeout and returns them. */
    public fun expire(nowMillis: Long): List<DaemonInfo> {
        val expired =
            observations.values.filter { nowMillis - it.lastSeenAtMillis >= LIVENESS_TIMEOUT_MILLIS }.map { it.daemon }
        expired.forEach { observations.remove(it.name) }
        unresponsiveAtMillis.values.removeIf { nowMillis - it >= UNRESPONSIVE_MILLIS }
        return expired
    }
}

/** The live daemons by rank, ready or not, without those that are leaving; the first ones answer all syncs. */
public fun DaemonTable.ranked(nowMillis: Long): List<DaemonInfo> = responsive(nowMillis).sortedBy { it.rank }

/** The daemons that may lead placement, in the order of preference. */
public fun DaemonTable.leaderCandidates(nowMillis: Long): List<DaemonInfo> = ranked(nowMillis).filter { it.ready }

/** Four syncs, of which one may be lost; callers get a dead daemon's address for this long plus the gossip delay. */
private const val LIVENESS_TIMEOUT_MILLIS = 1_600L

/** How long a daemon that did not answer is skipped. */
private const val UNRESPONSIVE_MILLIS = 1_500L
