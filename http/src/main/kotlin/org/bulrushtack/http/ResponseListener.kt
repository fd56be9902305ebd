package org.bulrushtack.http

/** Hears of one answer, on a network thread. After [onEnd] or [onFailure] nothing more is said. */
public interface ResponseListener {
    /** The status and headers arrived. */
    public fun onHead(status: Int, headers: HttpHeaderList)

    /** A part of the body arrived. */
    public fun onData(bytes: ByteArray)

    /** The answer is whole. */
    public fun onEnd()

    /** The answer isn't whole and never will be. */
    public fun onFailure(failure: HttpFailure)
}
