package org.bulrushtack.core.backend

/**
 * Who gives an order to a backend server.
 *
 * @property fence the fencing number; a server that checks it refuses lower ones than it has seen
 */
public data class BackendRequestContext(
    val serverRequestId: String,
    val owner: String,
    val ownerIncarnation: String,
    val fence: Long,
)
