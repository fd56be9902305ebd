package org.bulrushtack.http

/** Receives one response, on a network thread. No call follows [onComplete] or [onFailure]. */
public interface ResponseListener {
    /** The status and headers arrived. */
    public fun onHead(status: Int, headers: HttpHeaderList)

    /** A part of the body arrived. */
    public fun onData(bytes: ByteArray)

    /** The response is complete. */
    public fun onComplete()

    /** No complete response will arrive. */
    public fun onFailure(failure: HttpFailure)
}
