package org.bulrushtack.daemon.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.ApplyOutcome
import org.bulrushtack.core.log.SettingsEdit
import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingChange
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Checks operators' edits, appends them, and waits until every live daemon has them in force. */
internal class TreeEditor(
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val timer: ScheduledExecutorService,
) {
    private val log = ComponentLog(component = "operator")
    private val waiting = ConcurrentHashMap<String, CompletableFuture<Either<Problem, Long>>>()

    /** Checks the changes of [request] against types, ranges and [tree]. */
    fun check(request: TreeEditRequest, tree: SettingsTree): Either<Problem, List<SettingChange>> {
        val checked = request.changes.map { check(change = it, tree = tree) }
        val faults = checked.mapNotNull { it.leftOrNull() }
        return when {
            checked.isEmpty() -> Problem(ErrorKind.EDIT_INVALID, "There is no change in it.").left()
            faults.isNotEmpty() -> Problem(ErrorKind.EDIT_INVALID, faults.joinToString("; ")).left()
            else -> checked.mapNotNull { it.getOrNull() }.right()
        }
    }

    /** Appends an edit; the answer comes when it is in force everywhere, or says which daemons are behind. */
    fun edit(operator: String, changes: List<SettingChange>): CompletableFuture<Either<Problem, EditResult>> {
        val edit = SettingsEdit(id = "edit/${UUID.randomUUID()}", operator = operator, changes = changes)
        val folded = CompletableFuture<Either<Problem, Long>>()
        waiting[edit.id] = folded
        control.post(Event.EditRequested(edit))
        return folded.thenCompose { outcome ->
            outcome.fold(
                ifLeft = { CompletableFuture.completedFuture(it.left()) },
                ifRight = { offset -> awaitInForce(offset).thenApply { it.right() } },
            )
        }
    }

    /** An edit was folded. */
    fun onEditApplied(action: Action.EditApplied) {
        val offset = action.offset
        val outcome = action.outcome
        log.info { "edit=${action.editId} offset=$offset outcome=${outcome::class.simpleName}." }
        val result: Either<Problem, Long> = when (outcome) {
            is ApplyOutcome.Rejected ->
                Problem(ErrorKind.EDIT_CONFLICT, "Changed first: ${outcome.conflicts.joinToString()}.").left()
            else -> offset.right()
        }
        waiting.remove(action.editId)?.complete(result)
    }

    /** An edit did not reach the log. */
    fun onEditFailed(action: Action.EditFailed) {
        log.warn { "edit=${action.editId} failed: ${action.problem.kind.code}." }
        waiting.remove(action.editId)?.complete(action.problem.left())
    }

    private fun check(change: TreeEditRequest.Change, tree: SettingsTree): Either<String, SettingChange> =
        SettingsPath.parse(change.path).fold(
            ifLeft = { it.left() },
            ifRight = { path ->
                val address = SettingAddress(path = path, key = change.key)
                val error = SettingsSchema.validationError(path = path, key = change.key, value = change.value)
                if (error != null) {
                    "$address: $error".left()
                } else {
                    SettingChange(
                        address = address,
                        value = change.value,
                        expectedVersion = change.expectedVersion ?: tree.version(address),
                    ).right()
                }
            },
        )

    private fun awaitInForce(offset: Long): CompletableFuture<EditResult> {
        val result = CompletableFuture<EditResult>()
        look(offset = offset, startedAtMillis = clock.nowMillis(), result = result)
        return result
    }

    private fun look(offset: Long, startedAtMillis: Long, result: CompletableFuture<EditResult>) {
        control.query { blackboard, nowMillis -> behind(blackboard, nowMillis, offset) }.thenAccept { behind ->
            val waitedMillis = clock.nowMillis() - startedAtMillis
            if (behind.isEmpty() || waitedMillis >= PATIENCE_MILLIS) {
                result.complete(EditResult(offset = offset, behind = behind, waitedMillis = waitedMillis))
            } else {
                timer.schedule({ look(offset, startedAtMillis, result) }, LOOK_MILLIS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun behind(blackboard: Blackboard, nowMillis: Long, offset: Long): List<String> =
        blackboard.members.members.values
            .filter { blackboard.members.isLive(name = it.digest.name, nowMillis = nowMillis) }
            .filter { it.digest.appliedOffset < offset }
            .map { it.digest.name }

    /**
     * An accepted edit.
     *
     * @property offset its place in the log, the version of what it set
     * @property behind live daemons that had not said within the waiting time that it is in force there
     */
    data class EditResult(
        val offset: Long,
        val behind: List<String>,
        val waitedMillis: Long,
    )
}

private const val PATIENCE_MILLIS = 7_000L
private const val LOOK_MILLIS = 50L
