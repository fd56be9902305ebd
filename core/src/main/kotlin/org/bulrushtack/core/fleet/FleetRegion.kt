package org.bulrushtack.core.fleet

/**
 * The backend servers and the data centres that are taken out. Written by the reader of the platform's records,
 * read by placement and again just before each send.
 */
public class FleetRegion {
    private val servers = LinkedHashMap<String, BackendServerState>()
    private val takenOut = HashSet<String>()

    /** Notes a server's entry, read at [nowMillis]. */
    public fun put(entry: BackendServerEntry, nowMillis: Long) {
        servers[entry.id] = BackendServerState(entry = entry, coldUntilMillis = nowMillis + entry.coldMillis)
    }

    /** Notes that the entry of [id] was dropped; the server counts as gone from [goneAtMillis] on. */
    public fun drop(id: String, goneAtMillis: Long) {
        servers.computeIfPresent(id) { _, state -> state.copy(goneAtMillis = goneAtMillis) }
    }

    /** Notes whether [dataCentre] is taken out. */
    public fun setTakenOut(dataCentre: String, out: Boolean) {
        if (out) takenOut.add(dataCentre) else takenOut.remove(dataCentre)
    }

    /** Notes that [id] said itself that it is leaving, or that another server answers at its address. */
    public fun markLeaving(id: String) {
        servers.computeIfPresent(id) { _, state -> state.copy(entry = state.entry.copy(leaving = true)) }
    }

    /** The server called [id], if it may get a request at [nowMillis]. */
    public fun usable(id: String, nowMillis: Long): BackendServerState? =
        servers[id]?.takeIf { isUsable(state = it, nowMillis = nowMillis) }

    /** The servers of [service] that may get requests at [nowMillis]. */
    public fun usableOf(service: String, nowMillis: Long): List<BackendServerState> =
        servers.values.filter { it.entry.service == service && isUsable(state = it, nowMillis = nowMillis) }

    /** Forgets servers that have been gone for long. */
    public fun forgetGone(nowMillis: Long) {
        servers.values.removeIf { state -> state.goneAtMillis.let { it != null && it + KEEP_GONE_MILLIS < nowMillis } }
    }

    /** How many servers are known, whether usable or not. */
    public val size: Int get() = servers.size

    private fun isUsable(state: BackendServerState, nowMillis: Long): Boolean {
        val gone = state.goneAtMillis != null && nowMillis >= state.goneAtMillis
        return !gone && !state.entry.leaving && state.entry.dataCentre !in takenOut
    }
}

/** Long enough for the last requests of a server that is gone to end. */
private const val KEEP_GONE_MILLIS = 30_000L
