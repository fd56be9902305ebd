package org.bulrushtack.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.platform.LogPage
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.platform.PlatformLog
import org.bulrushtack.daemon.ComponentLog
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Reads the platform's log continuously and passes the entries to the control thread. */
class LogFollower(
    private val platformLog: PlatformLog,
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val timer: ScheduledExecutorService,
) {
    private val log = ComponentLog(component = "log")
    private var failures = 0
    private var lastAppliedOffset = 0L

    /** Starts reading at the oldest record that the log retains. */
    fun start() = read(fromOffset = 1)

    /** An unexpected error counts as a failed read, since it must not end the reading. */
    private fun read(fromOffset: Long) {
        val requestedAtMillis = clock.nowMillis()
        runCatching { platformLog.read(fromOffset = fromOffset, waitMillis = READ_WAIT_MILLIS) }
            .getOrElse { CompletableFuture.failedFuture(it) }
            .thenCompose { result ->
                result.fold(
                    ifLeft = { CompletableFuture.completedFuture(it.left()) },
                    ifRight = { apply(it, fromOffset, requestedAtMillis) },
                )
            }
            .exceptionally { PlatformFailure("unexpected: $it").left() }
            .thenAccept { next ->
                next.fold(
                    ifLeft = { onReadFailed(failure = it, fromOffset = fromOffset) },
                    ifRight = { read(fromOffset = it) },
                )
            }
    }

    /** Applies [page] and returns the offset to go on with. */
    private fun apply(
        page: LogPage,
        fromOffset: Long,
        requestedAtMillis: Long,
    ): CompletableFuture<Either<PlatformFailure, Long>> {
        if (failures > 0) log.info { "Reading the log succeeds again after $failures failures." }
        failures = 0
        control.post(
            Event.RecordsRead(
                entries = page.entries,
                tailOffset = page.tailOffset,
                requestedAtMillis = requestedAtMillis,
            ),
        )
        return control.query { blackboard, _ -> blackboard.log.projection.appliedOffset }.thenApply { applied ->
            nextOffset(page = page, fromOffset = fromOffset, appliedOffset = applied).right()
        }
    }

    /** Continues after the last applied entry or, where earlier records have expired, towards the next snapshot. */
    private fun nextOffset(page: LogPage, fromOffset: Long, appliedOffset: Long): Long {
        val advanced = appliedOffset > lastAppliedOffset
        lastAppliedOffset = appliedOffset
        return when {
            advanced -> appliedOffset + 1
            page.entries.isEmpty() -> fromOffset
            else -> page.entries.last().offset + 1
        }
    }

    private fun onReadFailed(failure: PlatformFailure, fromOffset: Long) {
        failures++
        if (failures == 1) log.warn { "Reading the log failed: ${failure.reason}." }
        control.post(Event.LogUnreachable)
        timer.schedule({ read(fromOffset) }, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }
}

private const val READ_WAIT_MILLIS = 1_000L
private const val RETRY_DELAY_MILLIS = 200L
