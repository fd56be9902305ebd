package org.bulrushtack.forward.exchange

import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseFraming

/** Relays a backend server's response to the caller. */
internal interface ResponseRelay {
    /** Whether any part of the response was sent to the caller, so that no other response can replace it. */
    val isStarted: Boolean

    /** The bytes of an event that has started and isn't complete; always 0 for a response without events. */
    val unfinishedBytes: Int get() = 0

    /** Starts relaying the response of another server; discards what is buffered of the previous one. */
    fun open(status: Int, headers: HttpHeaderList)

    /** Learns that the head of a server's response shows that the server executed the request. */
    fun onExecuted() = Unit

    /** Relays [bytes] of the response body. */
    fun accept(bytes: ByteArray): RelayState

    /** Whether a response with [framing] that ends now has been broken off, although its framing is complete. */
    fun isCutShort(framing: ResponseFraming): Boolean = false

    /** Completes the response. */
    fun complete()

    /** Aborts the response, which stays incomplete. */
    fun abort()

    /** Sets the [listener] that is called whenever the caller's connection becomes writable again. */
    fun onWritable(listener: () -> Unit)
}
