package org.bulrushtack.http

/**
 * A complete response.
 *
 * @property contentType the type of the body, or null when [headers] contain it or there is no body
 */
public class HttpMessageResponse(
    public val status: Int,
    public val contentType: String? = "application/json",
    public val body: ByteArray = ByteArray(0),
    public val headers: HttpHeaderList = HttpHeaderList(),
) {
    /** The body as text in UTF-8. */
    public fun text(): String = body.decodeToString()
}
