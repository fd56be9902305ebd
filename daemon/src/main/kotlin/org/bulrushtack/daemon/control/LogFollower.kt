package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.platform.LogPage
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.platform.PlatformLog
import org.bulrushtack.daemon.ComponentLog
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Reads the platform's log without end and hands the entries to the control thread. */
class LogFollower(
    private val platformLog: PlatformLog,
    private val control: ControlThread,
    private val clock: MonotonicClock,
    private val timer: ScheduledExecutorService,
) {
    private val log = ComponentLog(component = "log")
    private var failures = 0
    private var lastAppliedOffset = 0L

    /** Starts reading at the first record that is kept. */
    fun start() = read(fromOffset = 1)

    private fun read(fromOffset: Long) {
        val askedAtMillis = clock.nowMillis()
        platformLog.read(fromOffset = fromOffset, waitMillis = WAIT_MILLIS).thenAccept { answer ->
            answer.fold(
                ifLeft = { failed(failure = it, fromOffset = fromOffset) },
                ifRight = { took(page = it, fromOffset = fromOffset, askedAtMillis = askedAtMillis) },
            )
        }
    }

    private fun took(page: LogPage, fromOffset: Long, askedAtMillis: Long) {
        if (failures > 0) log.info { "The log answers again after $failures failures." }
        failures = 0
        control.post(
            Event.RecordsRead(
                entries = page.entries,
                tailOffset = page.tailOffset,
                requestedAtMillis = askedAtMillis,
            ),
        )
        control.query { blackboard, _ -> blackboard.log.projection.appliedOffset }.thenAccept { applied ->
            read(fromOffset = next(page = page, fromOffset = fromOffset, appliedOffset = applied))
        }
    }

    /** Goes on after what was folded; where earlier records have expired, on towards the next snapshot. */
    private fun next(page: LogPage, fromOffset: Long, appliedOffset: Long): Long {
        val advanced = appliedOffset > lastAppliedOffset
        lastAppliedOffset = appliedOffset
        return when {
            advanced -> appliedOffset + 1
            page.entries.isEmpty() -> fromOffset
            else -> page.entries.last().offset + 1
        }
    }

    private fun failed(failure: PlatformFailure, fromOffset: Long) {
        failures++
        if (failures == 1) log.warn { "The log does not answer: ${failure.reason}." }
        control.post(Event.LogUnreachable)
        timer.schedule({ read(fromOffset) }, RETRY_MILLIS, TimeUnit.MILLISECONDS)
    }
}

private const val WAIT_MILLIS = 1_000L
private const val RETRY_MILLIS = 200L
