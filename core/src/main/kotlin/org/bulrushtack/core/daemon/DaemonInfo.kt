package org.bulrushtack.core.daemon

/**
 * What a forwarding daemon says of itself.
 *
 * @property incarnation new at each start
 * @property peerAddress host and port for other daemons
 * @property frontAddress host and port for callers
 * @property rank the offset of its record in the platform's store, or null while it has none
 * @property ready whether it serves callers
 * @property leaving whether it is shutting down
 * @property revision grows with each change that an incarnation makes here
 */
public data class DaemonInfo(
    val name: String,
    val incarnation: String,
    val dataCentre: String,
    val peerAddress: String,
    val frontAddress: String,
    val rank: Long?,
    val ready: Boolean,
    val leaving: Boolean,
    val revision: Long = 0,
)
