package org.bulrushtack.http

/** A request and the operations to respond to it, which may be called from any thread. */
public interface HttpExchange {
    public val request: HttpMessageRequest

    /** Sends a complete response. */
    public fun respond(response: HttpMessageResponse)

    /** Starts a response of unknown length; [contentType] is null when [headers] contain it. */
    public fun stream(status: Int, contentType: String?, headers: HttpHeaderList = HttpHeaderList()): ResponseStream

    /** Closes the connection without a response. */
    public fun abort()

    /** Calls [listener] when the client closes the connection before the response is complete. */
    public fun onClosed(listener: () -> Unit)
}
