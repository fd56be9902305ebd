package org.bulrushtack.core.daemon

/** The live daemons that one [incarnation] of a peer reports, built up from its deltas. */
public class PeerDaemonView(
    public val incarnation: String,
) {
    private val byName = HashMap<String, DaemonInfo>()

    /** The version of the last applied delta; 0 before the first. */
    public var version: Long = 0
        private set

    /** All daemons that the peer reports as live. */
    public val daemons: Collection<DaemonInfo> get() = byName.values

    /** Applies [delta] and returns the names of the daemons that the peer no longer reports. */
    public fun applyDelta(delta: DaemonSetDelta): Set<String> {
        val before = byName.keys.toSet()
        if (delta.complete) byName.clear()
        byName.keys.removeAll(delta.removed)
        delta.daemons.forEach { byName[it.name] = it }
        version = delta.version
        return before - byName.keys
    }
}
