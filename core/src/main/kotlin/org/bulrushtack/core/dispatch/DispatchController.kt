package org.bulrushtack.core.dispatch

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.BackendServerDirectory

/**
 * The owner's side: queues work for owned backend servers and dispatches it within their bounds.
 * Reads the log and members regions, writes the contents of the ledgers.
 */
internal class DispatchController(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val policy: QueuePolicy = ExpectedWorkQueuePolicy(),
) : Controller {
    private val ledgers = blackboard.ledgers
    private val observer = ServerObserver(blackboard = blackboard)
    private var nextPollAtMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        val actions = when (event) {
            is Event.WorkSubmitted -> submit(work = event.work, nowMillis = nowMillis)
            is Event.WorkWithdrawn -> withdraw(event.id)
            is Event.WorkEnded -> end(event = event, nowMillis = nowMillis)
            is Event.ServerReported -> observer.report(event = event, nowMillis = nowMillis)
            is Event.ServerListed -> observer.list(
                event = event,
                address = directory.find(event.server)?.vm?.httpAddress,
                nowMillis = nowMillis,
            )
            is Event.Tick -> poll(nowMillis) + refuseOfClosed()
            is Event.RecordsRead -> refuseOfClosed()
            else -> return emptyList()
        }
        return actions + ledgers.openLedgers().flatMap { pump(ledger = it, nowMillis = nowMillis) }
    }

    private fun submit(work: Work, nowMillis: Long): List<Action> {
        val ledger = ledgers.find(work.server)
        val server = directory.find(work.server)
        if (ledger == null || !ledger.open || server == null) return refuse(work, ErrorKind.NOT_OWNER)
        val kind = refusal(work = work, ledger = ledger, server = server, nowMillis = nowMillis)
        if (kind != null) return refuse(work, kind)
        val rank = policy.rank(work)
        val place = ledger.queue.indexOfFirst { policy.rank(it) > rank }
        ledger.queue.add(if (place < 0) ledger.queue.size else place, work)
        return emptyList()
    }

    private fun refusal(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): ErrorKind? {
        val neverFits = ledger.listed && work.reservedTokens > ledger.capacityTokens
        val leftMillis = work.deadlineAtMillis - nowMillis
        return when {
            !takesNewWork(ledger = ledger, server = server) -> ErrorKind.NO_BACKEND_SERVER
            neverFits -> ErrorKind.PROMPT_TOO_LONG
            work.expectedMillis > leftMillis -> ErrorKind.CANNOT_FINISH
            expectedWait(work = work, ledger = ledger, server = server, nowMillis = nowMillis) > leftMillis ->
                ErrorKind.OVERLOADED
            else -> null
        }
    }

    /** The expected time until [work] has ended, from what is ahead of it. */
    private fun expectedWait(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): Long {
        val rank = policy.rank(work)
        val aheadMillis = ledger.queue.filter { policy.rank(it) <= rank }.sumOf { it.expectedMillis }
        val lanes = maxOf(1, ledger.bound(settings = server.settings, nowMillis = nowMillis))
        return aheadMillis / lanes + work.expectedMillis
    }

    private fun withdraw(id: WorkId): List<Action> = ledgers.all().flatMap { ledger ->
        val waiting = ledger.queue.filter { it.id == id }
        ledger.queue.removeAll(waiting)
        waiting.flatMap { refuse(it, ErrorKind.QUEUE_TIMEOUT) }
    }

    private fun end(event: Event.WorkEnded, nowMillis: Long): List<Action> {
        val ledger = ledgers.all().firstOrNull { event.id in it.running } ?: return emptyList()
        val charge = ledger.running.getValue(event.id)
        when (event.ending.kind) {
            WorkEnding.Kind.ENDED -> {
                ledger.running.remove(event.id)
                ledger.fenceAccepted = true
            }
            WorkEnding.Kind.NOT_SENT -> ledger.running.remove(event.id)
            WorkEnding.Kind.LOST -> if (!ledger.open) {
                ledger.running.remove(event.id)
            } else {
                ledger.running[event.id] = charge.copy(lostAtMillis = nowMillis)
                ledger.suspectSinceMillis = nowMillis
                nextPollAtMillis = 0
            }
        }
        val incarnation = event.ending.incarnation
        if (incarnation != null) observer.seeIncarnation(ledger = ledger, incarnation = incarnation)
        return emptyList()
    }

    private fun poll(nowMillis: Long): List<Action> {
        if (nowMillis < nextPollAtMillis) return emptyList()
        nextPollAtMillis = nowMillis + POLL_MILLIS
        return ledgers.openLedgers().mapNotNull { directory.find(it.server) }.map {
            Action.PollServer(server = it.name, address = it.vm.httpAddress)
        }
    }

    private fun refuseOfClosed(): List<Action> = ledgers.all().filter { !it.open }.flatMap { ledger ->
        val waiting = ledger.queue.toList()
        ledger.queue.clear()
        waiting.flatMap { refuse(it, ErrorKind.NOT_OWNER) }
    }

    private fun pump(ledger: Ledger, nowMillis: Long): List<Action> {
        if (ledger.queue.isEmpty()) return emptyList()
        val server = directory.find(ledger.server)
        if (server == null || !takesNewWork(ledger = ledger, server = server)) {
            val waiting = ledger.queue.toList()
            ledger.queue.clear()
            return waiting.flatMap { refuse(it, ErrorKind.NO_BACKEND_SERVER) }
        }
        return refuseLate(ledger = ledger, nowMillis = nowMillis) + startWhatFits(ledger, server, nowMillis)
    }

    private fun refuseLate(ledger: Ledger, nowMillis: Long): List<Action> {
        val late = ledger.queue.filter { it.deadlineAtMillis <= nowMillis }
        if (late.isEmpty()) return emptyList()
        ledger.queue.removeAll(late)
        return late.flatMap { refuse(it, ErrorKind.QUEUE_TIMEOUT) }
    }

    private fun startWhatFits(ledger: Ledger, server: BackendServer, nowMillis: Long): List<Action> {
        val actions = mutableListOf<Action>()
        val waiting = ledger.queue.iterator()
        var first: Work? = null
        while (waiting.hasNext() && ledger.hasRoom(settings = server.settings, nowMillis = nowMillis)) {
            val work = waiting.next()
            if (ledger.fitsMemory(work = work, settings = server.settings)) {
                waiting.remove()
                actions += start(work = work, ledger = ledger, server = server, nowMillis = nowMillis)
            } else if (first == null && !ledger.waitsForLongShare(work = work, settings = server.settings)) {
                first = work
                if (mustNotBypass(ledger = ledger, nowMillis = nowMillis)) break
            }
        }
        if (first == null) ledger.headBlockedSinceMillis = null
        return actions
    }

    /** Later work may use what the first can't, but only for a while, so that the first isn't starved of memory. */
    private fun mustNotBypass(ledger: Ledger, nowMillis: Long): Boolean {
        val since = ledger.headBlockedSinceMillis ?: nowMillis.also { ledger.headBlockedSinceMillis = it }
        return nowMillis - since > BYPASS_MILLIS
    }

    private fun start(work: Work, ledger: Ledger, server: BackendServer, nowMillis: Long): Action {
        ledger.running[work.id] = Ledger.Charge(work = work, startedAtMillis = nowMillis)
        return Action.StartWork(work = work, address = server.vm.httpAddress, fence = ledger.fence)
    }

    private fun takesNewWork(ledger: Ledger, server: BackendServer): Boolean =
        !ledger.leaving && directory.acceptsNewWork(server)

    private fun refuse(work: Work, kind: ErrorKind): List<Action> =
        listOf(Action.RefuseWork(id = work.id, problem = Problem(kind = kind)))
}

private const val POLL_MILLIS = 500L
private const val BYPASS_MILLIS = 2_000L
