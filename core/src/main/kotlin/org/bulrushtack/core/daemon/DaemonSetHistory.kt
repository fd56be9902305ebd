package org.bulrushtack.core.daemon

/** Versions the changes to the set of live daemons, so that each peer is sent only the changes that it lacks. */
public class DaemonSetHistory {
    private val entries = HashMap<String, Entry>()
    private var version = 0L
    private var completeFrom = 0L

    /** Replaces the set of live daemons by [live] and gives each difference a version of its own. */
    public fun update(live: Collection<DaemonInfo>) {
        val byName = live.associateBy { it.name }
        byName.values.filter { entries[it.name]?.daemon != it }.forEach { set(it.name, it) }
        entries.filter { (name, entry) -> entry.daemon != null && name !in byName }.keys.forEach { set(it, null) }
        discardOldestRemovals()
    }

    /** The changes after version [known]; a peer without any version passes 0. */
    public fun since(known: Long): DaemonSetDelta {
        val complete = known <= completeFrom || known > version
        val changed = entries.values.filter { complete || it.version > known }
        return DaemonSetDelta(
            version = version,
            complete = complete,
            daemons = changed.mapNotNull { it.daemon },
            removed = if (complete) emptySet() else changed.filter { it.daemon == null }.map { it.name }.toSet(),
        )
    }

    private fun set(name: String, daemon: DaemonInfo?) {
        version += 1
        entries[name] = Entry(name = name, daemon = daemon, version = version)
    }

    private fun discardOldestRemovals() {
        val removed = entries.values.filter { it.daemon == null }.sortedBy { it.version }
        removed.take(maxOf(0, removed.size - MAXIMUM_REMOVALS)).forEach { oldest ->
            entries.remove(oldest.name)
            completeFrom = oldest.version
        }
    }

    private data class Entry(
        val name: String,
        val daemon: DaemonInfo?,
        val version: Long,
    )
}

/** Far more daemons than stop between two sync requests of a peer. */
private const val MAXIMUM_REMOVALS = 256
