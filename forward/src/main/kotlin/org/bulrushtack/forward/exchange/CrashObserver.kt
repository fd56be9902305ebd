package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.forward.quarantine.CrashReports

/** Observes whether a server answers one send or crashes under it, and reports that for the [parts] of its prompt. */
internal class CrashObserver(
    private val reports: CrashReports,
    private val parts: Set<String>,
) {
    private var lifetimes: Map<String, ServerLifetime> = emptyMap()
    private var relayedEvents = 0

    /** Records the lifetimes of the [servers] that get the request. */
    fun onSent(servers: List<ServerLifetime>) {
        lifetimes = servers.associateBy { it.serverId }
    }

    /** Records an event that was sent to the caller. */
    fun onEventRelayed() {
        relayedEvents += 1
        if (relayedEvents == ANSWERING_EVENTS) reports.onAnswer(parts)
    }

    /** Records the [result] of the send. */
    fun onFinished(result: SendResult) {
        when {
            result.outcome == SendOutcome.DELIVERED -> reports.onAnswer(parts)
            result.isBrokenOff && relayedEvents < ANSWERING_EVENTS -> report(result.serverId)
        }
    }

    private fun report(serverId: String) =
        reports.onCrash(lifetimes[serverId] ?: ServerLifetime(serverId, startedAtMillis = 0), parts)
}

/** A server that has sent so many events doesn't crash on what it answers; the first event may be its last act. */
private const val ANSWERING_EVENTS = 2
