package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.forward.quarantine.CrashReports

/** Observes whether a server answers one send or crashes under it, and reports that for the [parts] of its prompt. */
internal class CrashObserver(
    private val reports: CrashReports,
    private val parts: Set<String>,
) {
    private var relayedEvents = 0

    /** Records an event that was sent to the caller. */
    fun onEventRelayed() {
        relayedEvents += 1
        if (relayedEvents == ANSWERING_EVENTS) reports.onAnswer(parts)
    }

    /** Records the [result] of the send. */
    fun onFinished(result: SendResult) {
        when {
            result.outcome == SendOutcome.DELIVERED -> reports.onAnswer(parts)
            result.isBrokenOff && relayedEvents < ANSWERING_EVENTS -> reports.onCrash(result.serverId, parts)
        }
    }
}

/** A server that has sent so many events doesn't crash on what it answers; the first event may be its last act. */
private const val ANSWERING_EVENTS = 2
