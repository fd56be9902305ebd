package org.bulrushtack.core.daemon

/** Numbers the changes of the set of live daemons, so that peers are told of what is new alone. */
public class DaemonSetHistory {
    private val entries = HashMap<String, Entry>()
    private var version = 0L
    private var completeFrom = 0L

    /** Takes over that exactly [live] are live now. */
    public fun update(live: Collection<DaemonInfo>) {
        val byName = live.associateBy { it.name }
        byName.values.filter { entries[it.name]?.daemon != it }.forEach { set(it.name, it) }
        entries.filter { (name, entry) -> entry.daemon != null && name !in byName }.keys.forEach { set(it, null) }
        forgetOldest()
    }

    /** What a peer that knows [known] has missed; a peer that knows nothing gives 0. */
    public fun since(known: Long): DaemonSetDelta {
        val complete = known <= completeFrom || known > version
        val news = entries.values.filter { complete || it.version > known }
        return DaemonSetDelta(
            version = version,
            complete = complete,
            daemons = news.mapNotNull { it.daemon },
            gone = if (complete) emptySet() else news.filter { it.daemon == null }.map { it.name }.toSet(),
        )
    }

    private fun set(name: String, daemon: DaemonInfo?) {
        version += 1
        entries[name] = Entry(name = name, daemon = daemon, version = version)
    }

    private fun forgetOldest() {
        val gone = entries.values.filter { it.daemon == null }.sortedBy { it.version }
        gone.take(maxOf(0, gone.size - MAXIMUM_GONE)).forEach { oldest ->
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

/** Far more daemons than end between two questions of a peer. */
private const val MAXIMUM_GONE = 256
