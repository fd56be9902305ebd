package org.bulrushtack.forward.wire

import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageRequest
import org.bulrushtack.http.HttpMessageResponse

/** Translates between the headers and bodies on the wire and the daemon's own types. */
interface ExchangeCodec {
    /** Parses the headers of a caller's request. */
    fun callerRequestHead(headers: HttpHeaderList): CallerRequestHead

    /** Returns the request that forwards [request] to the server at [address] with the headers of [head] added. */
    fun backendRequest(request: HttpMessageRequest, address: String, head: BackendRequestHead): ClientRequest

    /** Parses the status and headers of a server's response to the attempt [attemptId]. */
    fun backendResponseHead(status: Int, headers: HttpHeaderList, attemptId: String): BackendResponseHead

    /** Returns those [headers] of a server's response that are forwarded to the caller. */
    fun callerResponseHeaders(headers: HttpHeaderList): HttpHeaderList

    /** Returns the request that reserves memory for [tokens] at [address], or renews the lease. */
    fun reservationRequest(address: String, reservationId: String, tokens: Long, leaseMillis: Long): ClientRequest

    /** Returns the request for the load of the engine at [address]. */
    fun loadReportRequest(address: String): ClientRequest

    /** Parses the start of the engine that sent [report], in Unix milliseconds; null if it doesn't tell. */
    fun reportedStartMillis(report: HttpMessageResponse): Long?

    /** Returns the request that releases a reservation. */
    fun reservationReleaseRequest(address: String, reservationId: String): ClientRequest
}
