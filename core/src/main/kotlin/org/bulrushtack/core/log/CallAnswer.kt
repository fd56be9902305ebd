package org.bulrushtack.core.log

/**
 * The response of a plain service.
 *
 * @property status the HTTP status
 * @property body the bytes of the body, encoded in Base64
 */
public data class CallAnswer(
    val status: Int,
    val contentType: String,
    val body: String,
)
