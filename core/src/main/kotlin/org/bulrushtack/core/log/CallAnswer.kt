package org.bulrushtack.core.log

/**
 * The answer of a plain service.
 *
 * @property status the HTTP status
 * @property body the body's bytes as text in base 64
 */
public data class CallAnswer(
    val status: Int,
    val contentType: String,
    val body: String,
)
