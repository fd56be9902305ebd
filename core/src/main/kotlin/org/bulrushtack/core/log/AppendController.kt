package org.bulrushtack.core.log

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.PendingAppend.Stage

/**
 * Appends pending records to the log, one batch at a time. After a lost response it waits until the log has been
 * read to its tail, and appends again only what is missing there. Writes the pending records of the log region.
 */
internal class AppendController(
    private val blackboard: Blackboard,
) : Controller {
    private val region = blackboard.log
    private var unknownSinceMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        if (event is Event.EditRequested) {
            region.append(record = event.edit, deadlineAtMillis = nowMillis + EDIT_TIMEOUT_MILLIS)
        }
        val actions = when (event) {
            is Event.AppendAnswered -> handleResult(event = event, nowMillis = nowMillis)
            is Event.RecordsRead -> completeApplied() + retryMissing(event)
            is Event.Tick -> dropExpired(nowMillis)
            else -> emptyList()
        }
        return actions + nextBatch(nowMillis)
    }

    private fun handleResult(event: Event.AppendAnswered, nowMillis: Long): List<Action> {
        val actions = mutableListOf<Action>()
        event.ids.mapNotNull { region.pending[it] }.forEach { append ->
            when (event.result) {
                AppendResult.ACCEPTED -> put(append.copy(stage = Stage.ACCEPTED, mayBeAppended = true))
                AppendResult.REFUSED -> actions += handleRefusal(append = append, nowMillis = nowMillis)
                AppendResult.UNKNOWN -> {
                    unknownSinceMillis = nowMillis
                    put(append.copy(stage = Stage.UNKNOWN, mayBeAppended = true, failures = append.failures + 1))
                }
            }
        }
        return actions
    }

    /** A refused edit fails at once, so that its operator learns of it; other records are retried after a backoff. */
    private fun handleRefusal(append: PendingAppend, nowMillis: Long): List<Action> {
        if (append.record is SettingsEdit && !append.mayBeAppended) {
            region.pending.remove(append.record.id)
            return listOf(Action.EditFailed(editId = append.record.id, problem = Problem(ErrorKind.LOG_UNAVAILABLE)))
        }
        val failures = append.failures + 1
        val backoffMillis = minOf(MAXIMUM_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS shl minOf(failures, MAXIMUM_DOUBLINGS))
        put(append.copy(stage = Stage.WAITING, failures = failures, nextAttemptAtMillis = nowMillis + backoffMillis))
        return emptyList()
    }

    private fun completeApplied(): List<Action> {
        val applied = region.appliedEntries.associateBy { it.entry.record.id }
        return region.pending.keys.filter { region.projection.hasRecentId(it) }.mapNotNull { id ->
            val record = region.pending.remove(id)?.record
            if (record is SettingsEdit) editAction(id = id, applied = applied[id]) else null
        }
    }

    private fun editAction(id: String, applied: AppliedEntry?): Action {
        val summary = region.projection.edits.find(id)
        return when {
            applied != null -> Action.EditApplied(editId = id, offset = applied.entry.offset, outcome = applied.outcome)
            summary == null -> Action.EditFailed(editId = id, problem = Problem(ErrorKind.EDIT_UNCONFIRMED))
            summary.conflicts.isEmpty() ->
                Action.EditApplied(editId = id, offset = summary.offset, outcome = ApplyOutcome.Accepted)
            else -> Action.EditApplied(
                editId = id,
                offset = summary.offset,
                outcome = ApplyOutcome.Rejected(conflicts = summary.conflicts),
            )
        }
    }

    /** Once the log was read to a tail requested after the response was lost, records missing there are sent again. */
    private fun retryMissing(event: Event.RecordsRead): List<Action> {
        val tail = event.tailOffset
        val isLater = event.requestedAtMillis >= unknownSinceMillis
        if (tail == null || !isLater || region.projection.appliedOffset < tail) return emptyList()
        region.pending.values.filter { it.stage == Stage.UNKNOWN }.forEach { put(it.copy(stage = Stage.WAITING)) }
        return emptyList()
    }

    private fun dropExpired(nowMillis: Long): List<Action> {
        val expired = region.pending.values
            .filter { append -> append.deadlineAtMillis?.let { it < nowMillis } ?: false }
        return expired.mapNotNull { append ->
            region.pending.remove(append.record.id)
            val kind = if (append.mayBeAppended) ErrorKind.EDIT_UNCONFIRMED else ErrorKind.LOG_UNAVAILABLE
            val isEdit = append.record is SettingsEdit
            if (isEdit) Action.EditFailed(editId = append.record.id, problem = Problem(kind)) else null
        }
    }

    private fun nextBatch(nowMillis: Long): List<Action> {
        val waiting = region.pending.values.filter { it.stage == Stage.WAITING && it.nextAttemptAtMillis <= nowMillis }
        if (waiting.isEmpty() || region.pending.values.any { it.stage == Stage.SENT }) return emptyList()
        val batch = waiting.take(MAXIMUM_BATCH_RECORDS)
        batch.forEach { put(it.copy(stage = Stage.SENT)) }
        return listOf(Action.AppendRecords(records = batch.map { it.record }))
    }

    private fun put(append: PendingAppend) {
        region.pending[append.record.id] = append
    }
}

private const val EDIT_TIMEOUT_MILLIS = 10_000L
private const val INITIAL_BACKOFF_MILLIS = 100L
private const val MAXIMUM_BACKOFF_MILLIS = 2_000L
private const val MAXIMUM_DOUBLINGS = 5
private const val MAXIMUM_BATCH_RECORDS = 64
