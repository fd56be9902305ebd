package org.bulrushtack.core.dispatch

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.server.BackendServerDirectory

/**
 * The owner's side of dispatch: queues work for owned backend servers and dispatches it within their bounds.
 * Reads the log and members regions and writes the contents of the ledgers.
 */
internal class DispatchController(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
    private val policy: QueuePolicy = ExpectedWorkQueuePolicy(),
) : Controller {
    private val ledgers = blackboard.ledgers
    private val observer = ServerObserver(blackboard = blackboard)
    private val admission = QueueAdmission(directory = directory, policy = policy)
    private val queueDispatcher = QueueDispatcher()
    private var nextPollAtMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        val actions = when (event) {
            is Event.WorkSubmitted -> submit(work = event.work, nowMillis = nowMillis)
            is Event.WorkWithdrawn -> withdraw(event.id)
            is Event.WorkAcknowledged -> observer.acknowledge(event)
            is Event.WorkEnded -> finish(event = event, nowMillis = nowMillis)
            is Event.ServerReported -> observer.updateFromReport(event = event, nowMillis = nowMillis)
            is Event.ServerListed -> updateFromList(event = event, nowMillis = nowMillis)
            is Event.Tick -> poll(nowMillis) + refuseForClosedLedgers()
            is Event.ExitDue -> ledgers.all().flatMap { queueDispatcher.refuseAll(it, ErrorKind.DRAINING) }
            is Event.RecordsRead -> refuseForClosedLedgers()
            else -> return emptyList()
        }
        return actions + ledgers.openLedgers().flatMap { dispatchQueue(ledger = it, nowMillis = nowMillis) }
    }

    private fun submit(work: Work, nowMillis: Long): List<Action> {
        val ledger = ledgers.find(work.server)?.takeIf { it.open }
        val server = directory.find(work.server)
        val kind = when {
            blackboard.members.exitDue -> ErrorKind.DRAINING
            ledger == null || server == null -> ErrorKind.NOT_OWNER
            else -> admission.refusal(work = work, ledger = ledger, server = server, nowMillis = nowMillis)
        }
        if (kind != null) return listOf(queueDispatcher.refuse(work = work, kind = kind))
        ledger?.let { enqueue(work = work, ledger = it) }
        return emptyList()
    }

    private fun enqueue(work: Work, ledger: Ledger) {
        val rank = policy.rank(work)
        val index = ledger.queue.indexOfFirst { policy.rank(it) > rank }
        ledger.queue.add(if (index < 0) ledger.queue.size else index, work)
    }

    private fun withdraw(id: WorkId): List<Action> = ledgers.all().flatMap { ledger ->
        val waiting = ledger.queue.filter { it.id == id }
        ledger.queue.removeAll(waiting)
        waiting.map { queueDispatcher.refuse(work = it, kind = ErrorKind.QUEUE_TIMEOUT) }
    }

    private fun finish(event: Event.WorkEnded, nowMillis: Long): List<Action> {
        val ledger = ledgers.all().firstOrNull { event.id in it.running } ?: return emptyList()
        if (event.result.kind == WorkResult.Kind.LOST && ledger.open) {
            ledger.markLost(id = event.id, nowMillis = nowMillis)
            nextPollAtMillis = 0
        } else {
            ledger.running.remove(event.id)
        }
        if (event.result.kind == WorkResult.Kind.FINISHED) ledger.fenceAccepted = true
        event.result.incarnation?.let { observer.updateIncarnation(ledger = ledger, incarnation = it) }
        return emptyList()
    }

    private fun updateFromList(event: Event.ServerListed, nowMillis: Long): List<Action> {
        val address = directory.find(event.server)?.vm?.httpAddress ?: return emptyList()
        return observer.updateFromList(event = event, address = address, nowMillis = nowMillis)
    }

    private fun poll(nowMillis: Long): List<Action> {
        if (nowMillis < nextPollAtMillis) return emptyList()
        nextPollAtMillis = nowMillis + POLL_INTERVAL_MILLIS
        return ledgers.openLedgers().mapNotNull { directory.find(it.server) }.map {
            Action.PollServer(server = it.name, address = it.vm.httpAddress)
        }
    }

    private fun refuseForClosedLedgers(): List<Action> = ledgers.all()
        .filter { !it.open }
        .flatMap { queueDispatcher.refuseAll(ledger = it, kind = ErrorKind.NOT_OWNER) }

    private fun dispatchQueue(ledger: Ledger, nowMillis: Long): List<Action> {
        val server = directory.find(ledger.server)
        return when {
            ledger.queue.isEmpty() -> emptyList()
            server == null || !admission.acceptsNewWork(ledger = ledger, server = server) ->
                queueDispatcher.refuseAll(ledger = ledger, kind = ErrorKind.NO_BACKEND_SERVER)
            else -> queueDispatcher.dispatch(ledger = ledger, server = server, nowMillis = nowMillis)
        }
    }
}

private const val POLL_INTERVAL_MILLIS = 500L
