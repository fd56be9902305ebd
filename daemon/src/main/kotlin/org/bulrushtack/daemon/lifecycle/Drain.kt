package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.http.HttpServer
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * A graceful shutdown. The daemon first leaves the entry list that callers fetch, and accepts requests for as long as
 * callers may cache that list. It then waits until nothing runs here any more, at most [maximumMillis] in total, and
 * answers the requests that are still pending shortly before that.
 */
internal class Drain(
    private val control: ControlThread,
    private val httpServer: HttpServer,
    private val clock: MonotonicClock,
    private val maximumMillis: Long,
) {
    private val log = ComponentLog(component = "drain")
    private val sleepLatch = CountDownLatch(1)

    /** Returns when the process may exit. */
    fun run() {
        val startedAtMillis = clock.nowMillis()
        val cacheSeconds = control.snapshot.tree.number(SettingsPath.ROOT, SettingsSchema.ENTRY_KEEP_SECONDS)
        log.info { "The daemon is draining; it accepts requests for $cacheSeconds s more." }
        control.post(Event.DrainRequested)
        sleepUntil(startedAtMillis + minOf(cacheSeconds * MILLIS_PER_SECOND + CACHE_MARGIN_MILLIS, maximumMillis))
        control.post(Event.AdmissionEnded)
        httpServer.stopAccepting()
        val deadlineMillis = startedAtMillis + maximumMillis
        if (!awaitIdle(deadlineMillis - FINAL_RESPONSE_MILLIS)) {
            log.warn { "Requests are still pending; they get their final response now." }
            control.post(Event.ExitDue)
            awaitIdle(deadlineMillis)
        }
        closeConnections()
        log.info { "The drain has finished." }
    }

    /** Refuses what is still arriving and ends all connections; without it the exit would reset them. */
    private fun closeConnections() {
        httpServer.refuseIncomplete()
        httpServer.closeConnections(CLOSE_MILLIS)
        sleepUntil(clock.nowMillis() + CLOSE_MILLIS)
    }

    private fun awaitIdle(untilMillis: Long): Boolean {
        while (!isIdle()) {
            if (clock.nowMillis() >= untilMillis) return false
            sleepUntil(minOf(untilMillis, clock.nowMillis() + IDLE_CHECK_MILLIS))
        }
        return true
    }

    private fun isIdle(): Boolean =
        control.query { blackboard, _ -> isIdle(blackboard) }.join() && httpServer.activeCount == 0

    private fun isIdle(blackboard: Blackboard): Boolean {
        val owned = blackboard.ledgers.all().sumOf { it.running.size + it.queue.size }
        val received = blackboard.requests.active.size + blackboard.calls.active.size
        return owned + received + blackboard.log.pending.size == 0
    }

    private fun sleepUntil(untilMillis: Long) {
        val millis = untilMillis - clock.nowMillis()
        if (millis > 0) sleepLatch.await(millis, TimeUnit.MILLISECONDS)
    }
}

private const val MILLIS_PER_SECOND = 1_000L
private const val CACHE_MARGIN_MILLIS = 500L
private const val IDLE_CHECK_MILLIS = 100L

/** The time in which callers read what was written and close their connections. */
private const val CLOSE_MILLIS = 100L

/** The time in which the last responses reach their callers. */
private const val FINAL_RESPONSE_MILLIS = 500L
