package org.bulrushtack.http

/** One request and the means to answer it, from any thread. */
public interface HttpExchange {
    public val request: HttpMessageRequest

    /** Answers with a whole response. */
    public fun respond(response: HttpMessageResponse)

    /** Starts an answer of unknown length; [contentType] is null when [headers] say it. */
    public fun stream(status: Int, contentType: String?, headers: HttpHeaderList = HttpHeaderList()): ResponseStream

    /** Breaks the connection off without an answer. */
    public fun abort()

    /** Registers [listener] for the case that the client goes away before the answer has ended. */
    public fun onClosed(listener: () -> Unit)
}
