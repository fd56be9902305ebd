package org.bulrushtack.core.fleet

/**
 * A backend server as this daemon sees it.
 *
 * @property coldUntilMillis the steady time at which it is warm
 * @property goneAtMillis the steady time from which it counts as gone, or null while its entry stands
 */
public data class BackendServerState(
    val entry: BackendServerEntry,
    val coldUntilMillis: Long,
    val goneAtMillis: Long? = null,
)
