package org.bulrushtack.core.backend

/**
 * Identifies a request to a backend server and the daemon that sends it.
 *
 * @property fence the fencing number; a server that checks it rejects any lower number than the highest it has seen
 */
public data class BackendRequestContext(
    val serverRequestId: String,
    val owner: String,
    val ownerIncarnation: String,
    val fence: Long,
)
