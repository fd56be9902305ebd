package org.bulrushtack.forward.wire

import org.bulrushtack.http.HttpMessageRequest
import org.bulrushtack.http.HttpMessageResponse

/** Translates the questions that callers and the platform ask a daemon about itself. */
interface EntryCodec {
    /** Whether [request] asks which addresses to connect to. */
    fun asksForAddresses(request: HttpMessageRequest): Boolean

    /** The answer that names [addresses], to be kept for [keepMillis]. */
    fun addresses(addresses: List<String>, keepMillis: Long): HttpMessageResponse

    /** Whether [request] asks whether the daemon is ready. */
    fun asksForReadiness(request: HttpMessageRequest): Boolean
}
