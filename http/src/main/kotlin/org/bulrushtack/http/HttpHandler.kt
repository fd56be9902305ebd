package org.bulrushtack.http

/** Responds to requests. Both functions are called on a network thread and must not block. */
public interface HttpHandler {
    /** Whether connections are closed after their next response that is no stream. */
    public val isClosing: Boolean get() = false

    /** Learns of connections that end while they owe a response. */
    public val observer: ConnectionObserver get() = ConnectionObserver.None

    /** Handles a complete request; the response may be sent later and on any thread. */
    public fun handle(exchange: HttpExchange)

    /** The response to a request that could not be read completely; the connection is closed after it. */
    public fun errorResponse(error: RequestError): HttpMessageResponse
}
