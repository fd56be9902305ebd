package org.bulrushtack.http

/**
 * A request for [HttpClient].
 *
 * @property address host and port; also the Host header, unless [headers] contain one
 * @property path the raw request target
 * @property contentType the type of a body, or null when [headers] contain it
 * @property dedicatedConnection whether to open a connection for this request alone, so that a failure to connect
 * proves that nothing was sent
 * @property maximumResponseBytes the largest response body, with its framing; a larger one fails the request
 * @property timeoutMillis the longest time until the response is complete, or null for no timeout
 */
public data class ClientRequest(
    public val method: String,
    public val address: String,
    public val path: String,
    public val headers: HttpHeaderList = HttpHeaderList(),
    public val body: ByteArray = ByteArray(0),
    public val contentType: String? = "application/json",
    public val dedicatedConnection: Boolean = false,
    public val maximumResponseBytes: Long = DEFAULT_MAXIMUM_RESPONSE_BYTES,
    public val timeoutMillis: Long? = null,
)

/** Several times the largest page of the platform's store, in bytes. */
private const val DEFAULT_MAXIMUM_RESPONSE_BYTES = 8_388_608L
