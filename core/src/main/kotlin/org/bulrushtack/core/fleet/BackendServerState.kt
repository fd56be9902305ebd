package org.bulrushtack.core.fleet

/**
 * The state of a backend server in this daemon's replica.
 *
 * @property coldUntilMillis the steady time from which it is warm
 * @property usableUntilMillis the steady time at which it expires, or null while its entry is stored
 * @property lostAtMillis the steady time at which it was found to be no longer at its address, or null
 */
public data class BackendServerState(
    val entry: BackendServerEntry,
    val coldUntilMillis: Long,
    val usableUntilMillis: Long? = null,
    val lostAtMillis: Long? = null,
) {
    /** Whether it said that it leaves, and [newer] is an entry of the same lifetime, which ends with that. */
    internal fun hasLeft(newer: BackendServerEntry): Boolean =
        entry.leaving && entry.startedAtMillis > 0 && entry.startedAtMillis == newer.startedAtMillis

    /** Whether it said that it leaves, and [late] is an entry of an earlier lifetime, which was stored late. */
    internal fun isAfter(late: BackendServerEntry): Boolean =
        entry.leaving && late.startedAtMillis in 1 until entry.startedAtMillis

    /** Whether [restored] was written before this entry, or no later than it if the entry was deleted since. */
    internal fun isNewerThan(restored: BackendServerEntry): Boolean {
        val order = compareValuesBy(restored, entry, { it.startedAtMillis }, { it.sequence })
        return order < 0 || (order == 0 && usableUntilMillis != null)
    }

    /** When it was lost, or null if [newer] was read since, at [readAtMillis], or has another address or lifetime. */
    internal fun lostAtMillis(newer: BackendServerEntry, readAtMillis: Long): Long? = lostAtMillis?.takeIf {
        readAtMillis < it && entry.address == newer.address && entry.startedAtMillis == newer.startedAtMillis
    }

    /** Whether the server may receive requests at [nowMillis], unless its data centre is taken out of service. */
    internal fun isUsable(nowMillis: Long): Boolean =
        !entry.leaving && lostAtMillis == null && (usableUntilMillis == null || nowMillis < usableUntilMillis)
}
