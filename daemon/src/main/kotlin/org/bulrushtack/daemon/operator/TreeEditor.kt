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

/** Checks operators' edits, appends them, and waits until every live daemon has applied them. */
internal class TreeEditor(
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val timer: ScheduledExecutorService,
) {
    private val log = ComponentLog(component = "operator")
    private val pendingEdits = ConcurrentHashMap<String, CompletableFuture<Either<Problem, Long>>>()

    /** Checks the changes of [request] against types, ranges and [tree]. */
    fun check(request: TreeEditRequest, tree: SettingsTree): Either<Problem, List<SettingChange>> {
        val checked = request.changes.map { check(change = it, tree = tree) }
        val errors = checked.mapNotNull { it.leftOrNull() }
        return when {
            checked.isEmpty() -> Problem(ErrorKind.EDIT_INVALID, "There is no change in it.").left()
            errors.isNotEmpty() -> Problem(ErrorKind.EDIT_INVALID, errors.joinToString("; ")).left()
            else -> checked.mapNotNull { it.getOrNull() }.right()
        }
    }

    /** Appends an edit; completes when every live daemon has applied it, or at a timeout with those that are behind. */
    fun edit(operator: String, changes: List<SettingChange>): CompletableFuture<Either<Problem, EditResult>> {
        val edit = SettingsEdit(id = "edit/${UUID.randomUUID()}", operator = operator, changes = changes)
        val applied = CompletableFuture<Either<Problem, Long>>()
        pendingEdits[edit.id] = applied
        control.post(Event.EditRequested(edit))
        return applied.thenCompose { outcome ->
            outcome.fold(
                ifLeft = { CompletableFuture.completedFuture(it.left()) },
                ifRight = { offset -> awaitInForce(offset).thenApply { it.right() } },
            )
        }
    }

    /** Completes a pending edit that was applied or rejected. */
    fun onEditApplied(action: Action.EditApplied) {
        val offset = action.offset
        val outcome = action.outcome
        log.info { "edit=${action.editId} offset=$offset outcome=${outcome::class.simpleName}." }
        val result: Either<Problem, Long> = when (outcome) {
            is ApplyOutcome.Rejected ->
                Problem(ErrorKind.EDIT_CONFLICT, "Changed first: ${outcome.conflicts.joinToString()}.").left()
            else -> offset.right()
        }
        pendingEdits.remove(action.editId)?.complete(result)
    }

    /** Fails a pending edit that did not reach the log. */
    fun onEditFailed(action: Action.EditFailed) {
        log.warn { "edit=${action.editId} failed: ${action.problem.kind.code}." }
        pendingEdits.remove(action.editId)?.complete(action.problem.left())
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
        pollUntilInForce(offset = offset, startedAtMillis = clock.nowMillis(), result = result)
        return result
    }

    private fun pollUntilInForce(offset: Long, startedAtMillis: Long, result: CompletableFuture<EditResult>) {
        control.query { blackboard, nowMillis -> daemonsBehind(blackboard, nowMillis, offset) }.thenAccept { behind ->
            val waitedMillis = clock.nowMillis() - startedAtMillis
            if (behind.isEmpty() || waitedMillis >= IN_FORCE_TIMEOUT_MILLIS) {
                result.complete(EditResult(offset = offset, behind = behind, waitedMillis = waitedMillis))
            } else {
                timer.schedule(
                    { pollUntilInForce(offset, startedAtMillis, result) },
                    IN_FORCE_POLL_MILLIS,
                    TimeUnit.MILLISECONDS,
                )
            }
        }
    }

    private fun daemonsBehind(blackboard: Blackboard, nowMillis: Long, offset: Long): List<String> =
        blackboard.members.members.values
            .filter { blackboard.members.isLive(name = it.digest.name, nowMillis = nowMillis) }
            .filter { it.digest.appliedOffset < offset }
            .map { it.digest.name }

    /**
     * An accepted edit.
     *
     * @property offset its offset in the log, which is also the version of the values that it set
     * @property behind live daemons that had not reported within the waiting time that they applied it
     */
    data class EditResult(
        val offset: Long,
        val behind: List<String>,
        val waitedMillis: Long,
    )
}

private const val IN_FORCE_TIMEOUT_MILLIS = 7_000L
private const val IN_FORCE_POLL_MILLIS = 50L
