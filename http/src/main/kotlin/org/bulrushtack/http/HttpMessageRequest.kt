package org.bulrushtack.http

/**
 * A whole request.
 *
 * @property path the path without its query
 * @property query the query's parameters; the first value of each
 */
public class HttpMessageRequest(
    public val method: String,
    public val path: String,
    public val query: Map<String, String> = emptyMap(),
    public val headers: HttpHeaderList = HttpHeaderList(),
    public val body: ByteArray = ByteArray(0),
)
