package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.platform.LogPage
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.platform.PlatformLog
import org.bulrushtack.daemon.ComponentLog
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

    private fun read(fromOffset: Long) {
        val requestedAtMillis = clock.nowMillis()
        platformLog.read(fromOffset = fromOffset, waitMillis = READ_WAIT_MILLIS).thenAccept { result ->
            result.fold(
                ifLeft = { onReadFailed(failure = it, fromOffset = fromOffset) },
                ifRight = { onPageRead(page = it, fromOffset = fromOffset, requestedAtMillis = requestedAtMillis) },
            )
        }
    }

    private fun onPageRead(page: LogPage, fromOffset: Long, requestedAtMillis: Long) {
        if (failures > 0) log.info { "Reading the log succeeds again after $failures failures." }
        failures = 0
        control.post(
            Event.RecordsRead(
                entries = page.entries,
                tailOffset = page.tailOffset,
                requestedAtMillis = requestedAtMillis,
            ),
        )
        control.query { blackboard, _ -> blackboard.log.projection.appliedOffset }.thenAccept { applied ->
            read(fromOffset = nextOffset(page = page, fromOffset = fromOffset, appliedOffset = applied))
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
