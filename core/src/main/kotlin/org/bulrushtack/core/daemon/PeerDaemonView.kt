package org.bulrushtack.core.daemon

/** The live daemons as the [incarnation] of one peer has told of them, change by change. */
public class PeerDaemonView(
    public val incarnation: String,
) {
    private val byName = HashMap<String, DaemonInfo>()

    /** What this view was built from; 0 when it holds nothing. */
    public var version: Long = 0
        private set

    /** All daemons that the peer vouches for. */
    public val daemons: Collection<DaemonInfo> get() = byName.values

    /** Takes [change] over and gives the names that the peer no longer vouches for. */
    public fun take(change: DaemonSetDelta): Set<String> {
        val before = byName.keys.toSet()
        if (change.complete) byName.clear()
        byName.keys.removeAll(change.gone)
        change.daemons.forEach { byName[it.name] = it }
        version = change.version
        return before - byName.keys
    }
}
