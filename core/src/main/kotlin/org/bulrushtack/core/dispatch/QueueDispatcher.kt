package org.bulrushtack.core.dispatch

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.server.BackendServer

/** Dispatches the queued work that fits, in queue order, and refuses work whose deadline has passed. */
internal class QueueDispatcher {
    /** Dispatches the queue of [ledger] as far as the bounds of [server] allow. */
    fun dispatch(ledger: Ledger, server: BackendServer, nowMillis: Long): List<Action> {
        val expired = ledger.queue.filter { it.deadlineAtMillis <= nowMillis }
        ledger.queue.removeAll(expired)
        return expired.map { refuse(work = it, kind = ErrorKind.QUEUE_TIMEOUT) } + start(ledger, server, nowMillis)
    }

    /** Empties the queue of [ledger] and refuses all its work with [kind]. */
    fun refuseAll(ledger: Ledger, kind: ErrorKind): List<Action> {
        val waiting = ledger.queue.toList()
        ledger.queue.clear()
        return waiting.map { refuse(work = it, kind = kind) }
    }

    fun refuse(work: Work, kind: ErrorKind): Action =
        Action.RefuseWork(id = work.id, problem = Problem(kind = kind))

    private fun start(ledger: Ledger, server: BackendServer, nowMillis: Long): List<Action> {
        val bounds = ServerBounds(ledger = ledger, settings = server.settings)
        val actions = mutableListOf<Action>()
        val waiting = ledger.queue.iterator()
        var blocked = false
        while (waiting.hasNext() && bounds.hasRoom(nowMillis)) {
            val work = waiting.next()
            if (bounds.fitsMemory(work)) {
                waiting.remove()
                actions += start(work = work, ledger = ledger, server = server, nowMillis = nowMillis)
            } else if (!blocked && !bounds.waitsForLongShare(work)) {
                blocked = true
                if (mustNotBypass(ledger = ledger, nowMillis = nowMillis)) break
            }
        }
        if (!blocked) ledger.headBlockedSinceMillis = null
        return actions
    }

    private fun start(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): Action {
        ledger.running[work.id] = Ledger.Dispatch(work = work, startedAtMillis = nowMillis)
        return Action.StartWork(work = work, address = server.vm.httpAddress, fence = ledger.fence)
    }

    /**
     * Later work may bypass a blocked head of the queue, which keeps memory in use, but only for a limited time, so
     * that the head isn't starved of memory.
     */
    private fun mustNotBypass(ledger: Ledger, nowMillis: Long): Boolean {
        val since = ledger.headBlockedSinceMillis ?: nowMillis.also { ledger.headBlockedSinceMillis = it }
        return nowMillis - since > MAXIMUM_BYPASS_MILLIS
    }
}

private const val MAXIMUM_BYPASS_MILLIS = 2_000L
