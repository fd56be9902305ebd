package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.ConnectionEnd
import org.bulrushtack.http.ConnectionEndCause
import org.bulrushtack.http.ConnectionObserver

/** Logs and counts the callers' connections that end while they owe a response. */
internal class LostResponseObserver(
    private val metrics: ForwardMetrics,
    private val log: EventLog,
) : ConnectionObserver {
    override fun onResponseLost(end: ConnectionEnd) {
        metrics.recordLostResponse(end.cause)
        val fields = listOf(
            LogField("cause", end.cause.name.lowercase()),
            LogField("unanswered", end.isUnanswered),
            LogField("held_requests", end.heldRequests),
            LogField("unread_bytes", end.unreadBytes),
        )
        if (end.cause == ConnectionEndCause.PEER) {
            log.info("A caller left before the response to its request.", fields)
        } else {
            log.warn("A connection ended without a response to a whole request.", fields)
        }
    }
}
