package org.bulrushtack.http

/**
 * Why no complete response arrived.
 *
 * @property sent whether any byte of the request can have left this process
 * @property closedByPeer whether the peer closed or reset the connection
 */
public data class HttpFailure(
    val sent: Boolean,
    val reason: String,
    val closedByPeer: Boolean = false,
)
