package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.ResponseFraming

/**
 * The result of one send.
 *
 * @property serverId the server to which the outcome is attributed
 * @property isBrokenOff whether the server closed the connection before its response was complete
 * @property framing how the end of the response was marked, or null when no head arrived
 * @property unfinishedBytes the bytes of a started event that were received when the send ended
 * @property firstEventMillis the time from the send to the first event that reached the caller, or null
 * @property failure the server's own error response, if the caller may get it
 */
internal data class SendResult(
    val outcome: SendOutcome,
    val reason: String,
    val serverId: String,
    val failure: HttpMessageResponse? = null,
    val isBrokenOff: Boolean = false,
    val framing: ResponseFraming? = null,
    val unfinishedBytes: Int = 0,
    val firstEventMillis: Long? = null,
) {
    /** Whether the server was not reached, or no longer. */
    val isServerLost: Boolean get() = outcome == SendOutcome.NOT_SENT || isBrokenOff
}
