package org.bulrushtack.forward.quarantine

import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Finds out whether backend servers that are silent have ended, however they ended: a machine without power closes no
 * connection, and its entry may stay for a while. A server that is only slow still responds when it is asked. Each
 * server is asked once for all sends that wait for it. One at whose address nothing listens gets no requests until its
 * entry is written again.
 *
 * @param isConnected whether this daemon is connected with the rest of the system and with other servers; otherwise
 *   silence and refused connections mean nothing
 */
internal class ServerLiveness(
    private val checker: ServerChecker,
    private val fleet: FleetRegion,
    private val isConnected: () -> Boolean,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    private val servers = HashMap<ServerLifetime, KnownServer>()

    /** Records that [lifetime] has sent something. */
    fun recordSign(lifetime: ServerLifetime) =
        servers.getOrPut(lifetime) { KnownServer() }.recordSign(thread.nowMillis())

    /** Finds out whether [server] runs and passes the result to [onResult], now or after it was asked. */
    fun find(server: ObservedServer, onResult: (Liveness) -> Unit) {
        val nowMillis = thread.nowMillis()
        servers.values.removeIf { it.usedAtMillis + RETENTION_MILLIS < nowMillis && it.waiting.isEmpty() }
        val known = servers.getOrPut(server.lifetime) { KnownServer() }
        known.usedAtMillis = nowMillis
        when {
            known.hasEnded || isReplaced(server) ->
                onResult(end(server, known, "another lifetime is registered"))
            known.signAtMillis + FRESH_MILLIS > nowMillis -> onResult(Liveness.ALIVE)
            else -> {
                known.waiting.add(onResult)
                if (known.waiting.size == 1) checker.check(server.address) { onChecked(server, known, it) }
            }
        }
    }

    private fun onChecked(server: ObservedServer, known: KnownServer, check: ServerCheck) {
        val result = when (check) {
            is ServerCheck.Responded -> onResponded(server, known, check)
            ServerCheck.Refused -> onRefused(server, known)
            ServerCheck.Unanswered -> onUnanswered(server, known)
        }
        val waiting = known.waiting.toList()
        known.waiting.clear()
        thread.forEach(waiting) { it(result) }
    }

    private fun onResponded(server: ObservedServer, known: KnownServer, check: ServerCheck.Responded): Liveness {
        val isAnother = server.lifetime.isOther(check.startedAtMillis ?: 0) || isReplaced(server)
        return if (isAnother) {
            end(server, known, "another lifetime responds")
        } else {
            known.recordSign(thread.nowMillis())
            Liveness.ALIVE
        }
    }

    /** A silent server may be in use again before its entry is written; one at whose address nothing listens is not. */
    private fun onRefused(server: ObservedServer, known: KnownServer): Liveness = if (isConnected()) {
        if (!isReplaced(server)) fleet.markLost(server.lifetime.serverId, thread.nowMillis())
        end(server, known, "nothing listens at its address")
    } else {
        Liveness.UNKNOWN
    }

    /** One check may be lost on the way; two in a row are not, unless it is this daemon that is cut off. */
    private fun onUnanswered(server: ObservedServer, known: KnownServer): Liveness {
        known.unanswered += 1
        val isSilent = known.unanswered >= UNANSWERED_CHECKS && isConnected()
        return if (isSilent) end(server, known, "it does not respond") else Liveness.UNKNOWN
    }

    private fun isReplaced(server: ObservedServer): Boolean =
        fleet.isReplaced(lifetime = server.lifetime, address = server.address)

    private fun end(server: ObservedServer, known: KnownServer, reason: String): Liveness {
        if (!known.hasEnded) {
            log.info(
                "A silent backend server has ended.",
                LogField("server", server.lifetime.serverId),
                LogField("address", server.address),
                LogField("started_at_millis", server.lifetime.startedAtMillis),
                LogField("reason", reason),
            )
        }
        known.hasEnded = true
        return Liveness.ENDED
    }

    private class KnownServer {
        val waiting = mutableListOf<(Liveness) -> Unit>()
        var usedAtMillis = 0L
        var signAtMillis = NEVER_MILLIS
        var unanswered = 0
        var hasEnded = false

        fun recordSign(nowMillis: Long) {
            usedAtMillis = nowMillis
            signAtMillis = nowMillis
            unanswered = 0
            hasEnded = false
        }
    }
}

private const val NEVER_MILLIS = Long.MIN_VALUE / 2

/** A server that has given a sign within this time is not asked. */
private const val FRESH_MILLIS = 500L
private const val UNANSWERED_CHECKS = 2

/** Well above the time for which a request waits. */
private const val RETENTION_MILLIS = 120_000L
