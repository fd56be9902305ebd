package org.bulrushtack.core.daemon

/**
 * The forwarding daemons as one of them, [self], sees them. The oldest live one places work for all; two that both
 * believe so for a moment only make their places worse, so no agreement is needed.
 */
public class DaemonTable(
    self: DaemonInfo,
) {
    private val sightings = HashMap<String, DaemonObservation>()
    private val suspectedAtMillis = HashMap<String, Long>()
    private val addresses = HashMap<String, String>()

    /** This daemon as it describes itself to others. */
    public var self: DaemonInfo = self
        set(value) {
            field = value.copy(revision = field.revision + 1)
        }

    /** Notes that [daemon] spoke at [atMillis]; [direct] when it was to this daemon. */
    public fun heard(daemon: DaemonInfo, atMillis: Long, direct: Boolean) {
        if (daemon.name == self.name) return
        addresses[daemon.name] = daemon.peerAddress
        if (direct) suspectedAtMillis.remove(daemon.peerAddress)
        val spokeAtMillis = if (direct) atMillis else null
        val known = sightings[daemon.name]
        val news = DaemonObservation(daemon = daemon, heardAtMillis = atMillis, spokeAtMillis = spokeAtMillis)
        sightings[daemon.name] = known?.with(news) ?: news
    }

    /** Notes that the daemon that had vouched for [name] no longer does; it counts as silent unless it spoke here. */
    public fun unheard(name: String, nowMillis: Long) {
        val known = sightings[name] ?: return
        val heardAtMillis = known.spokeAtMillis ?: (nowMillis - ALIVE_MILLIS)
        sightings[name] = known.copy(heardAtMillis = minOf(known.heardAtMillis, heardAtMillis))
    }

    /** Notes a daemon that is only known by its address; [label] tells it apart from others. */
    public fun learn(label: String, peerAddress: String) {
        if (peerAddress != self.peerAddress) addresses[label] = peerAddress
    }

    /** Notes that the daemon at [peerAddress] did not answer. */
    public fun failed(peerAddress: String, nowMillis: Long) {
        suspectedAtMillis[peerAddress] = nowMillis
    }

    /** The daemons in the order in which they answer for all, whether ready or not. */
    public fun ranked(nowMillis: Long): List<DaemonInfo> {
        val suspected = suspectedAtMillis.filterValues { nowMillis - it < SUSPECT_MILLIS }.keys
        return (live(nowMillis) + self)
            .filter { it.rank != null && !it.leaving && it.peerAddress !in suspected }
            .sortedBy { it.rank }
    }

    /** The other daemons that were heard of lately. */
    public fun live(nowMillis: Long): List<DaemonInfo> =
        sightings.values.filter { nowMillis - it.heardAtMillis < ALIVE_MILLIS }.map { it.daemon }

    /** Whether the daemon called [name] was heard of lately. */
    public fun isLive(name: String, nowMillis: Long): Boolean =
        sightings[name].let { it != null && nowMillis - it.heardAtMillis < ALIVE_MILLIS }

    /**
     * The other daemons that spoke to this one lately, each with the time. Only these are told to others: news that
     * came from others and goes back to them would never grow old.
     */
    public fun spoken(nowMillis: Long): List<DaemonObservation> = sightings.values.mapNotNull { sighting ->
        val spokeAtMillis = sighting.spokeAtMillis?.takeIf { nowMillis - it < ALIVE_MILLIS }
        spokeAtMillis?.let { sighting.copy(heardAtMillis = it) }
    }

    /** How many daemons are known of, this one included, whether they were heard of lately or not. */
    public val knownCount: Int get() = (addresses.values + self.peerAddress).toSet().size

    /** Addresses at which a daemon may run that this one has not heard of lately. */
    public fun unheardAddresses(nowMillis: Long): Set<String> =
        addresses.values.toSet() - live(nowMillis).map { it.peerAddress }.toSet() - self.peerAddress

    /** Forgets daemons that have been silent for long, and gives them. */
    public fun expire(nowMillis: Long): List<DaemonInfo> {
        val silent = sightings.values.filter { nowMillis - it.heardAtMillis >= ALIVE_MILLIS }.map { it.daemon }
        silent.forEach { sightings.remove(it.name) }
        suspectedAtMillis.values.removeIf { nowMillis - it >= SUSPECT_MILLIS }
        return silent
    }
}

/** The daemons that may place work, the one to ask first at the head. */
public fun DaemonTable.placers(nowMillis: Long): List<DaemonInfo> = ranked(nowMillis).filter { it.ready }

/** Four syncs, of which one may be lost; callers are told of a dead daemon for this long and while the news spreads. */
private const val ALIVE_MILLIS = 1_600L

/** How long a daemon that did not answer is passed over. */
private const val SUSPECT_MILLIS = 1_500L
