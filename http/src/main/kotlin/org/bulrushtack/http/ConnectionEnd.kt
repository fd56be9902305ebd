package org.bulrushtack.http

/**
 * A connection that ended while it owed the complete response to a request that was read whole.
 *
 * @property cause why it ended
 * @property isUnanswered whether a request was dispatched to the handler and not answered completely
 * @property heldRequests the requests that were read whole and not dispatched
 * @property unreadBytes the bytes that were received for those requests
 */
public data class ConnectionEnd(
    val cause: ConnectionEndCause,
    val isUnanswered: Boolean,
    val heldRequests: Int,
    val unreadBytes: Long,
)
