package org.bulrushtack.core.dispatch

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.BackendServerDirectory

/** Says at once which work an owner can't take, rather than after a wait in its queue. */
internal class QueueAdmission(
    private val directory: BackendServerDirectory,
    private val policy: QueuePolicy,
) {
    /** Why [work] is refused, or null. */
    fun refusal(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): ErrorKind? {
        val neverFits = ledger.listed && work.reservedTokens > ledger.capacityTokens
        val leftMillis = work.deadlineAtMillis - nowMillis
        return when {
            !takesNewWork(ledger = ledger, server = server) -> ErrorKind.NO_BACKEND_SERVER
            neverFits -> ErrorKind.PROMPT_TOO_LONG
            work.expectedMillis > leftMillis -> ErrorKind.CANNOT_FINISH
            expectedMillis(work, ledger, server, nowMillis) > leftMillis -> ErrorKind.OVERLOADED
            else -> null
        }
    }

    /** Whether [server] may get new work now. */
    fun takesNewWork(ledger: Ledger, server: BackendServer): Boolean =
        !ledger.leaving && directory.acceptsNewWork(server)

    /** The expected time until [work] has ended, from what is ahead of it. */
    private fun expectedMillis(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): Long {
        val rank = policy.rank(work)
        val aheadMillis = ledger.queue.filter { policy.rank(it) <= rank }.sumOf { it.expectedMillis }
        val lanes = maxOf(1, ServerBounds(ledger = ledger, settings = server.settings).requests(nowMillis))
        return aheadMillis / lanes + work.expectedMillis
    }
}
