package org.bulrushtack.core.dispatch

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.server.BackendServer

/** Starts what fits of a queue, in its order, and refuses what has waited beyond its deadline. */
internal class QueuePump {
    /** Works the queue of [ledger] off as far as the bounds of [server] allow. */
    fun pump(ledger: Ledger, server: BackendServer, nowMillis: Long): List<Action> {
        val late = ledger.queue.filter { it.deadlineAtMillis <= nowMillis }
        ledger.queue.removeAll(late)
        return late.map { refuse(work = it, kind = ErrorKind.QUEUE_TIMEOUT) } + start(ledger, server, nowMillis)
    }

    /** Empties the queue of [ledger]; all that waits is refused with [kind]. */
    fun refuseAll(ledger: Ledger, kind: ErrorKind): List<Action> {
        val waiting = ledger.queue.toList()
        ledger.queue.clear()
        return waiting.map { refuse(work = it, kind = kind) }
    }

    /** Refuses [work]. */
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
        ledger.running[work.id] = Ledger.Charge(work = work, startedAtMillis = nowMillis)
        return Action.StartWork(work = work, address = server.vm.httpAddress, fence = ledger.fence)
    }

    /** Later work may use what the first can't, but only for a while, so that the first isn't starved of memory. */
    private fun mustNotBypass(ledger: Ledger, nowMillis: Long): Boolean {
        val since = ledger.headBlockedSinceMillis ?: nowMillis.also { ledger.headBlockedSinceMillis = it }
        return nowMillis - since > BYPASS_MILLIS
    }
}

private const val BYPASS_MILLIS = 2_000L
