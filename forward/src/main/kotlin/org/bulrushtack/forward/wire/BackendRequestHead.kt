package org.bulrushtack.forward.wire

/**
 * The headers that this daemon adds to a request that it sends to a backend server.
 *
 * @property serverId the only server that may execute the request
 * @property workspace the workspace that owns the caller's key, or null
 * @property deadlineMillis the time left until the caller's deadline, or null when the caller set none
 * @property lastEventId the id of the last event that the caller received, or null
 * @property urgency the priority in the server's own queue, from 0 (most urgent) to 9
 * @property helpers the engines that prefill parts of the prompt
 */
data class BackendRequestHead(
    val serverId: String,
    val workspace: String?,
    val deadlineMillis: Long?,
    val lastEventId: String?,
    val urgency: Int,
    val helpers: List<PrefillHelper>,
)
