package org.bulrushtack.http

/** Answers requests. Both functions are called on a network thread and must not block. */
public interface HttpHandler {
    /** Whether connections are to be closed after their next answer. */
    public val isClosing: Boolean get() = false

    /** Takes a whole request; the answer may be given later and on any thread. */
    public fun handle(exchange: HttpExchange)

    /** The answer to a request that never became whole; the connection is closed after it. */
    public fun errorResponse(error: RequestError): HttpMessageResponse
}
