package org.bulrushtack.forward.wire

/**
 * What this daemon adds to a request that it sends to a backend server.
 *
 * @property serverId the only server that may run it
 * @property workspace the workspace that holds the caller's key, or null
 * @property deadlineMillis the time that is left, or null when the caller named none
 * @property lastEventId the last event that the caller has, or null
 * @property urgency the rank in the server's own queue, from 0 for the most urgent to 9
 * @property helpers the engines that read parts of the prompt
 */
data class SendHead(
    val serverId: String,
    val workspace: String?,
    val deadlineMillis: Long?,
    val lastEventId: String?,
    val urgency: Int,
    val helpers: List<Helper>,
)
