package org.bulrushtack.core.fleet

/**
 * The state of a backend server in this daemon's replica.
 *
 * @property coldUntilMillis the steady time from which it is warm
 * @property goneAtMillis the steady time from which it counts as gone, or null while its entry is stored
 */
public data class BackendServerState(
    val entry: BackendServerEntry,
    val coldUntilMillis: Long,
    val goneAtMillis: Long? = null,
)
