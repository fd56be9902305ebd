package org.bulrushtack.core.fleet

/**
 * The state of a backend server in this daemon's replica.
 *
 * @property coldUntilMillis the steady time from which it is warm
 * @property usableUntilMillis the steady time at which it expires, or null while its entry is stored
 */
public data class BackendServerState(
    val entry: BackendServerEntry,
    val coldUntilMillis: Long,
    val usableUntilMillis: Long? = null,
) {
    /** Whether the server may receive requests at [nowMillis], unless its data centre is taken out of service. */
    internal fun isUsable(nowMillis: Long): Boolean =
        !entry.leaving && (usableUntilMillis == null || nowMillis < usableUntilMillis)
}
