package org.bulrushtack.core.log

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Controller
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.PendingAppend.Stage

/**
 * Brings pending records into the log, one batch at a time. After a lost answer it reads the log to its tail
 * and looks before it appends again. Writes the pending records of the log region.
 */
internal class AppendController(
    private val blackboard: Blackboard,
) : Controller {
    private val region = blackboard.log
    private var unknownSinceMillis = 0L

    override fun handle(event: Event, nowMillis: Long): List<Action> {
        if (event is Event.EditRequested) {
            region.append(record = event.edit, deadlineAtMillis = nowMillis + EDIT_PATIENCE_MILLIS)
        }
        val settled = when (event) {
            is Event.AppendAnswered -> answered(event = event, nowMillis = nowMillis)
            is Event.RecordsRead -> settle() + resolveDoubts(event)
            is Event.Tick -> giveUp(nowMillis)
            else -> emptyList()
        }
        return settled + nextBatch(nowMillis)
    }

    private fun answered(event: Event.AppendAnswered, nowMillis: Long): List<Action> {
        val actions = mutableListOf<Action>()
        event.ids.mapNotNull { region.pending[it] }.forEach { append ->
            when (event.result) {
                AppendResult.ACCEPTED -> put(append.copy(stage = Stage.ACCEPTED, mayBeAppended = true))
                AppendResult.REFUSED -> actions += refused(append = append, nowMillis = nowMillis)
                AppendResult.UNKNOWN -> {
                    unknownSinceMillis = nowMillis
                    put(append.copy(stage = Stage.UNKNOWN, mayBeAppended = true, failures = append.failures + 1))
                }
            }
        }
        return actions
    }

    /** An operator is told at once that an edit was not taken; other records are tried again. */
    private fun refused(append: PendingAppend, nowMillis: Long): List<Action> {
        if (append.record is SettingsEdit && !append.mayBeAppended) {
            region.pending.remove(append.record.id)
            return listOf(Action.EditFailed(editId = append.record.id, problem = Problem(ErrorKind.LOG_UNAVAILABLE)))
        }
        val failures = append.failures + 1
        val pauseMillis = minOf(MAXIMUM_PAUSE_MILLIS, FIRST_PAUSE_MILLIS shl minOf(failures, MAXIMUM_DOUBLINGS))
        put(append.copy(stage = Stage.WAITING, failures = failures, nextAttemptAtMillis = nowMillis + pauseMillis))
        return emptyList()
    }

    private fun settle(): List<Action> {
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

    /** The log was read to a tail that is younger than the lost answer: what is not there is sent again. */
    private fun resolveDoubts(event: Event.RecordsRead): List<Action> {
        val tail = event.tailOffset
        val isYounger = event.requestedAtMillis >= unknownSinceMillis
        if (tail == null || !isYounger || region.projection.appliedOffset < tail) return emptyList()
        region.pending.values.filter { it.stage == Stage.UNKNOWN }.forEach { put(it.copy(stage = Stage.WAITING)) }
        return emptyList()
    }

    private fun giveUp(nowMillis: Long): List<Action> {
        val late = region.pending.values.filter { append -> append.deadlineAtMillis?.let { it < nowMillis } ?: false }
        return late.mapNotNull { append ->
            region.pending.remove(append.record.id)
            val kind = if (append.mayBeAppended) ErrorKind.EDIT_UNCONFIRMED else ErrorKind.LOG_UNAVAILABLE
            val isEdit = append.record is SettingsEdit
            if (isEdit) Action.EditFailed(editId = append.record.id, problem = Problem(kind)) else null
        }
    }

    private fun nextBatch(nowMillis: Long): List<Action> {
        val waiting = region.pending.values.filter { it.stage == Stage.WAITING && it.nextAttemptAtMillis <= nowMillis }
        if (waiting.isEmpty() || region.pending.values.any { it.stage == Stage.SENT }) return emptyList()
        val batch = waiting.take(MAXIMUM_BATCH)
        batch.forEach { put(it.copy(stage = Stage.SENT)) }
        return listOf(Action.AppendRecords(records = batch.map { it.record }))
    }

    private fun put(append: PendingAppend) {
        region.pending[append.record.id] = append
    }
}

private const val EDIT_PATIENCE_MILLIS = 10_000L
private const val FIRST_PAUSE_MILLIS = 100L
private const val MAXIMUM_PAUSE_MILLIS = 2_000L
private const val MAXIMUM_DOUBLINGS = 5
private const val MAXIMUM_BATCH = 64
