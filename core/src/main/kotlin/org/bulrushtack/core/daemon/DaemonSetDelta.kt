package org.bulrushtack.core.daemon

/**
 * How the set of live daemons differs from what a peer had been told.
 *
 * @property version what the peer knows with this change
 * @property complete whether [daemons] are all, so that the peer forgets every other one
 * @property daemons those that are new or have changed
 * @property gone the names of those that are no longer live
 */
public data class DaemonSetDelta(
    val version: Long,
    val complete: Boolean,
    val daemons: List<DaemonInfo>,
    val gone: Set<String>,
)
