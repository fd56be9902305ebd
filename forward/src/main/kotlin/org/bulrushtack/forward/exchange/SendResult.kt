package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.http.HttpMessageResponse

/**
 * The result of one send.
 *
 * @property serverId the server to which the outcome is attributed
 * @property firstEventMillis the time from the send to the first event that reached the caller, or null
 * @property failure the server's own error response, if the caller may get it
 */
internal data class SendResult(
    val outcome: SendOutcome,
    val reason: String,
    val serverId: String,
    val failure: HttpMessageResponse? = null,
    val firstEventMillis: Long? = null,
)
