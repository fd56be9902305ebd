package org.bulrushtack.forward.wire

import org.bulrushtack.http.ClientRequest
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageRequest

/** Translates between the headers and bodies on the wire and the daemon's own types. */
interface ExchangeCodec {
    /** Reads the headers of a caller's request. */
    fun callerHead(headers: HttpHeaderList): CallerHead

    /** The message that hands [request] on to the server at [address]. */
    fun forwarded(request: HttpMessageRequest, address: String, head: SendHead): ClientRequest

    /** Reads the headers of a server's answer to the attempt [attemptId]. */
    fun answerHead(status: Int, headers: HttpHeaderList, attemptId: String): AnswerHead

    /** The headers of a server's answer that the caller gets. */
    fun answerHeaders(headers: HttpHeaderList): HttpHeaderList

    /** The message that reserves [tokens] of memory at [address] for [holdMillis], or renews that reservation. */
    fun reservation(address: String, ticketId: String, tokens: Long, holdMillis: Long): ClientRequest

    /** The message that ends a reservation. */
    fun reservationEnd(address: String, ticketId: String): ClientRequest
}
