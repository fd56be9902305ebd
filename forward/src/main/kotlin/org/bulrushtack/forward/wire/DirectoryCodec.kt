package org.bulrushtack.forward.wire

import org.bulrushtack.http.HttpMessageRequest
import org.bulrushtack.http.HttpMessageResponse

/** Recognises the address and readiness requests that callers and the platform send, and encodes address responses. */
interface DirectoryCodec {
    /** Whether [request] looks up the addresses to connect to. */
    fun isAddressRequest(request: HttpMessageRequest): Boolean

    /** Returns the response that lists [addresses], which the caller may cache for [keepMillis]. */
    fun addressResponse(addresses: List<String>, keepMillis: Long): HttpMessageResponse

    /** Whether [request] is a readiness check of this daemon. */
    fun isReadinessRequest(request: HttpMessageRequest): Boolean
}
