package org.bulrushtack.forward.exchange

import org.bulrushtack.http.HttpHeaderList

/** Hands a server's answer on to the caller. */
internal interface AnswerRelay {
    /** Whether the caller has got any of the answer, so that no other answer can replace it. */
    val isBegun: Boolean

    /** Starts with the answer of one more server; what is left of the last one is forgotten. */
    fun open(status: Int, headers: HttpHeaderList)

    /** Takes a part of the answer; gives false while the caller reads too slowly. */
    fun accept(bytes: ByteArray): Boolean

    /** The answer is whole. */
    fun complete()

    /** The answer will never be whole. */
    fun abort()

    /** Registers [listener] for each time that the caller can take more. */
    fun onWritable(listener: () -> Unit)
}
