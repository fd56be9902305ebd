package org.bulrushtack.http

/**
 * Why no complete response arrived.
 *
 * @property sent whether any byte of the request can have left this process
 * @property closedByPeer whether the peer closed or reset the connection
 * @property connectionRefused whether the peer's host refused the connection, as nothing listens at the port
 * @property malformed whether the peer sent a response that is not HTTP, of which nothing may be believed
 */
public data class HttpFailure(
    val sent: Boolean,
    val reason: String,
    val closedByPeer: Boolean = false,
    val connectionRefused: Boolean = false,
    val malformed: Boolean = false,
)
