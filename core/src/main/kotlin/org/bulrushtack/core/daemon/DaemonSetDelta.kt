package org.bulrushtack.core.daemon

/**
 * The difference between the current set of live daemons and the version that a peer already has.
 *
 * @property version the version of the set after this delta
 * @property complete whether [daemons] is the whole set, so that the peer drops every other daemon
 * @property daemons the daemons that were added or have changed
 * @property removed the names of the daemons that are no longer live
 */
public data class DaemonSetDelta(
    val version: Long,
    val complete: Boolean,
    val daemons: List<DaemonInfo>,
    val removed: Set<String>,
)
