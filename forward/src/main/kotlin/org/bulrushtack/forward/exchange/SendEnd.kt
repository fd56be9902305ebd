package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.http.HttpMessageResponse

/**
 * How one send ended.
 *
 * @property faultyServerId the server that it says something about
 * @property firstEventMillis the time from the send to the first event that reached the caller, or null
 * @property failure the server's own answer, where it is a failure that the caller may get
 */
internal data class SendEnd(
    val outcome: SendOutcome,
    val reason: String,
    val faultyServerId: String,
    val failure: HttpMessageResponse? = null,
    val firstEventMillis: Long? = null,
)
