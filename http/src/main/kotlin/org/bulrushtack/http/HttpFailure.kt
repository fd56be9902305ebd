package org.bulrushtack.http

/**
 * Why no complete response arrived.
 *
 * @property sent whether any byte of the request can have left this process
 */
public data class HttpFailure(
    val sent: Boolean,
    val reason: String,
)
