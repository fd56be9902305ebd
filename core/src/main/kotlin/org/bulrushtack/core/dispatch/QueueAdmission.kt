package org.bulrushtack.core.dispatch

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.BackendServerDirectory

/** Refuses work that an owner can't execute in time on submission, rather than after a wait in the queue. */
internal class QueueAdmission(
    private val directory: BackendServerDirectory,
    private val policy: QueuePolicy,
) {
    /** The reason to refuse [work], or null to accept it. */
    fun refusal(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): ErrorKind? {
        val neverFits = ledger.listed && work.reservedTokens > ledger.capacityTokens
        val remainingMillis = work.deadlineAtMillis - nowMillis
        return when {
            !acceptsNewWork(ledger = ledger, server = server) -> ErrorKind.NO_BACKEND_SERVER
            neverFits -> ErrorKind.PROMPT_TOO_LONG
            work.expectedMillis > remainingMillis -> ErrorKind.CANNOT_FINISH
            completionMillis(work, ledger, server, nowMillis) > remainingMillis -> ErrorKind.OVERLOADED
            else -> null
        }
    }

    /** Whether [server] currently accepts new work. */
    fun acceptsNewWork(ledger: Ledger, server: BackendServer): Boolean =
        !ledger.leaving && directory.acceptsNewWork(server)

    /** The expected time until [work] has finished, given the work ahead of it in the queue. */
    private fun completionMillis(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): Long {
        val rank = policy.rank(work)
        val aheadMillis = ledger.queue.filter { policy.rank(it) <= rank }.sumOf { it.expectedMillis }
        val concurrency = maxOf(1, ServerBounds(ledger = ledger, settings = server.settings).requestLimit(nowMillis))
        return aheadMillis / concurrency + work.expectedMillis
    }
}
