package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.http.HttpServer
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * A graceful shutdown. The daemon leaves the entry answers first and goes on accepting for as long as callers keep
 * such an answer; then it ends when nothing runs here any more, or after [maximumMillis].
 */
internal class Drain(
    private val control: ControlThread,
    private val httpServer: HttpServer,
    private val clock: MonotonicClock,
    private val maximumMillis: Long,
) {
    private val log = PartLog(part = "drain")
    private val pause = CountDownLatch(1)

    /** Returns when the process may end. */
    fun run() {
        val startedAtMillis = clock.nowMillis()
        val keepSeconds = control.view.tree.number(SettingsPath.ROOT, SettingsSchema.ENTRY_KEEP_SECONDS)
        log.info { "The daemon is leaving; it accepts requests for $keepSeconds s more." }
        control.post(Event.DrainRequested)
        waitUntil(startedAtMillis + minOf(keepSeconds * MILLIS_PER_SECOND + MARGIN_MILLIS, maximumMillis))
        httpServer.stopAccepting()
        val deadlineMillis = startedAtMillis + maximumMillis
        while (clock.nowMillis() < deadlineMillis && !isIdle()) waitUntil(clock.nowMillis() + CHECK_MILLIS)
        log.info { "Nothing runs here any more." }
    }

    private fun isIdle(): Boolean = control.query { blackboard, _ -> isIdle(blackboard) }.join()

    private fun isIdle(blackboard: Blackboard): Boolean {
        val owned = blackboard.ledgers.all().sumOf { it.running.size + it.queue.size }
        val taken = blackboard.requests.active.size + blackboard.calls.active.size
        return owned + taken + blackboard.log.pending.size == 0
    }

    private fun waitUntil(untilMillis: Long) {
        val millis = untilMillis - clock.nowMillis()
        if (millis > 0) pause.await(millis, TimeUnit.MILLISECONDS)
    }
}

private const val MILLIS_PER_SECOND = 1_000L
private const val MARGIN_MILLIS = 500L
private const val CHECK_MILLIS = 100L
