package org.bulrushtack.core.fleet

/**
 * The known backend servers and the data centres that are taken out of service. The reader of the platform's store
 * writes it; placement reads it, and so does the check just before each send.
 */
public class FleetRegion {
    private val servers = LinkedHashMap<String, BackendServerState>()
    private val takenOut = HashSet<String>()

    /**
     * Adds or replaces a server's entry, which was read from the store at [readAtMillis]. A server that said that it
     * leaves stays leaving until a later lifetime; one that was found lost stays lost unless the entry was read after
     * that. If the store came back from an older copy ([isRestored]), an entry that was written before the known one is
     * not taken, nor that of a server that is gone since, as long as its last requests may run. Returns whether the
     * entry was taken.
     */
    public fun put(
        entry: BackendServerEntry,
        nowMillis: Long,
        readAtMillis: Long = nowMillis,
        isRestored: Boolean = false,
    ): Boolean {
        val previous = servers[entry.id]
        val isOutdated = previous != null && (previous.isAfter(entry) || (isRestored && previous.isNewerThan(entry)))
        if (!isOutdated) {
            servers[entry.id] = BackendServerState(
                entry = entry.copy(leaving = entry.leaving || previous?.hasLeft(entry) == true),
                coldUntilMillis = nowMillis + entry.coldMillis,
                lostAtMillis = previous?.lostAtMillis(newer = entry, readAtMillis = readAtMillis),
            )
        }
        return !isOutdated
    }

    /** Records that the entry of [id] was deleted; the server expires at [usableUntilMillis]. */
    public fun markRemoved(id: String, usableUntilMillis: Long) {
        servers.computeIfPresent(id) { _, state -> state.copy(usableUntilMillis = usableUntilMillis) }
    }

    /** Takes [dataCentre] out of service, or brings it back. */
    public fun setTakenOut(dataCentre: String, out: Boolean) {
        if (out) takenOut.add(dataCentre) else takenOut.remove(dataCentre)
    }

    /** Marks the server as leaving if it is in [lifetime], after its own word; returns whether it was not known to. */
    public fun markLeaving(lifetime: ServerLifetime): Boolean {
        val state = servers[lifetime.serverId]
            ?.takeUnless { it.entry.leaving || lifetime.isOther(it.entry.startedAtMillis) }
        if (state != null) servers[lifetime.serverId] = state.copy(entry = state.entry.copy(leaving = true))
        return state != null
    }

    /**
     * Takes [id] out of use, since another server or none responds at its address at [nowMillis], until an entry of it
     * is read after that, or one of another address or lifetime.
     */
    public fun markLost(id: String, nowMillis: Long) {
        servers.computeIfPresent(id) { _, state -> state.copy(lostAtMillis = nowMillis) }
    }

    /** The server with [id] if it may receive requests at [nowMillis], else null. */
    public fun usable(id: String, nowMillis: Long): BackendServerState? =
        servers[id]?.takeIf { it.isUsable(nowMillis) && it.entry.dataCentre !in takenOut }

    /** The servers of [service] that may receive requests at [nowMillis]. */
    public fun usableOf(service: String, nowMillis: Long): List<BackendServerState> = servers.values.filter {
        it.entry.service == service && it.isUsable(nowMillis) && it.entry.dataCentre !in takenOut
    }

    /** The lifetime of [id] that is registered, or was last. */
    public fun lifetime(id: String): ServerLifetime =
        ServerLifetime(serverId = id, startedAtMillis = servers[id]?.entry?.startedAtMillis ?: 0)

    /** Whether another lifetime than [lifetime] is registered under its id, or another server at its [address]. */
    public fun isReplaced(lifetime: ServerLifetime, address: String): Boolean {
        val startedAtMillis = lifetime(lifetime.serverId).startedAtMillis
        val isRestarted = lifetime.isOther(startedAtMillis)
        return isRestarted || servers.values.any {
            it.entry.address == address && it.entry.id != lifetime.serverId && it.usableUntilMillis == null
        }
    }

    /** Removes the servers that expired long enough ago for their last requests to be complete. */
    public fun removeExpired(nowMillis: Long) {
        servers.values.removeIf { state ->
            state.usableUntilMillis.let { it != null && it + EXPIRED_RETENTION_MILLIS < nowMillis }
        }
    }

    /** The servers whose entries are stored, whether they may receive requests or not. */
    public val stored: List<BackendServerState> get() = servers.values.filter { it.usableUntilMillis == null }

    /** The number of known servers, usable or not. */
    public val size: Int get() = servers.size
}

/** Long enough for the last requests of an expired server to complete. */
private const val EXPIRED_RETENTION_MILLIS = 30_000L
