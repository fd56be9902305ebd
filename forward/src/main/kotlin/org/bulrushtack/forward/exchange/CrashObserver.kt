package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.quarantine.CrashReports
import org.bulrushtack.forward.quarantine.Liveness
import org.bulrushtack.forward.quarantine.ObservedServer
import org.bulrushtack.forward.quarantine.ServerLiveness

/**
 * Observes whether a server answers one send or crashes under it, and reports that for the [parts] of its prompt. A
 * server that is silent for too long is asked whether it still runs, also after the send was given up.
 */
internal class CrashObserver(
    private val reports: CrashReports,
    private val liveness: ServerLiveness,
    private val thread: ForwardThread,
    private val parts: Set<String>,
) {
    private val timer = InactivityTimer(thread)
    private var server: ObservedServer? = null
    private var helpers: Map<String, ServerLifetime> = emptyMap()
    private var phase = Phase.WAITING
    private var relayedEvents = 0
    private var checks = 0

    /** Records that [sentTo] gets the request; it counts as silent after [silenceMillis]. */
    fun onSent(sentTo: ObservedServer, helpers: List<ServerLifetime>, silenceMillis: Long) {
        server = sentTo
        this.helpers = helpers.associateBy { it.serverId }
        if (parts.isNotEmpty()) timer.restart(silenceMillis, ::checkServer)
    }

    /** Records an event that was sent to the caller. */
    fun onEventRelayed() {
        relayedEvents += 1
        server?.let { liveness.recordSign(it.lifetime) }
        if (relayedEvents == ANSWERING_EVENTS) {
            settle()
            reports.onAnswer(parts)
        }
    }

    /** Records that the send is given up as the server is silent; its result follows. */
    fun onGivenUp() = abandon()

    /** Records the [result] of the send. */
    fun onFinished(result: SendResult) {
        when {
            result.isBrokenOff -> report(lifetime(result.serverId))
            phase == Phase.WAITING -> settle()
        }
        if (result.outcome == SendOutcome.DELIVERED) reports.onAnswer(parts)
    }

    /** Records that the send was cancelled without a result; its server is asked on only if it was silent before. */
    fun onCancelled() {
        if (checks == 0) settle() else abandon()
    }

    /** Asks the server, and asks again while it may still crash under the request. */
    private fun checkServer() {
        val silent = server ?: return
        checks += 1
        liveness.find(silent) { found ->
            when {
                phase == Phase.SETTLED || checks == MAXIMUM_CHECKS -> Unit
                found == Liveness.ENDED -> report(silent.lifetime)
                found == Liveness.UNKNOWN -> timer.restart(RECHECK_MILLIS, ::checkServer)
                phase == Phase.WAITING -> timer.restart(CHECK_MILLIS, ::checkServer)
            }
        }
    }

    private fun report(ended: ServerLifetime) {
        if (phase != Phase.SETTLED) reports.onCrash(ended, parts)
        settle()
    }

    private fun abandon() {
        if (phase == Phase.WAITING) phase = Phase.ABANDONED
    }

    private fun settle() {
        phase = Phase.SETTLED
        timer.stop()
    }

    private fun lifetime(serverId: String): ServerLifetime =
        helpers[serverId] ?: server?.lifetime ?: ServerLifetime(serverId, startedAtMillis = 0)

    private enum class Phase {
        /** The server may still answer. */
        WAITING,

        /** The send has ended without a sign of the server, which may have ended before. */
        ABANDONED,

        /** The server has answered, or its end was reported. */
        SETTLED,
    }
}

/** A server that has sent so many events doesn't crash on what it answers; the first event may be its last act. */
private const val ANSWERING_EVENTS = 2

/** The time until a silent server that has responded is asked again, and until one that has not. */
private const val CHECK_MILLIS = 500L
private const val RECHECK_MILLIS = 50L

/** Enough for the longest time for which callers wait. */
private const val MAXIMUM_CHECKS = 100
