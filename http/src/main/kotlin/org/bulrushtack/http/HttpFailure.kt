package org.bulrushtack.http

/**
 * Why an answer did not come, or not whole.
 *
 * @property sent whether any byte of the request can have left this process
 */
public data class HttpFailure(
    val sent: Boolean,
    val reason: String,
)
