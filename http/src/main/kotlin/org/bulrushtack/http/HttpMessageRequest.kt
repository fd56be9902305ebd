package org.bulrushtack.http

/**
 * A complete request.
 *
 * @property path the decoded path without its query; as it was sent if it isn't encoded properly
 * @property query the parameters of the query, the first value of each; empty if it isn't encoded properly
 * @property target the raw request target: path and query as they were sent
 */
public class HttpMessageRequest(
    public val method: String,
    public val path: String,
    public val query: Map<String, String> = emptyMap(),
    public val headers: HttpHeaderList = HttpHeaderList(),
    public val body: ByteArray = ByteArray(0),
    public val target: String = path,
)
