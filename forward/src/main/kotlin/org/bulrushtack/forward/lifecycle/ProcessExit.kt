package org.bulrushtack.forward.lifecycle

import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.exchange.DrainState
import org.bulrushtack.forward.exchange.ForwardHandler
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HttpServer

/** Ends a draining daemon: all connections of its [servers] first, then, with [onClosed], the daemon itself. */
internal class ProcessExit(
    private val drain: DrainState,
    private val front: ForwardHandler,
    private val servers: List<HttpServer>,
    private val thread: ForwardThread,
    private val log: EventLog,
    private val onClosed: () -> Unit,
) {
    private var hasStarted = false

    /** Starts the exit if no request keeps the process from it, or if the grace period is nearly over. */
    fun startWhenDue() {
        val nowMillis = thread.nowMillis()
        val isIdle = front.activeCount == 0 && servers.all { it.activeCount == 0 }
        val isDue = (isIdle && drain.mayExit(nowMillis)) || drain.mustExit(nowMillis)
        if (hasStarted || !isDue) return
        hasStarted = true
        log.info("The daemon is closing its connections.", LogField("active", front.activeCount))
        servers.forEach { server ->
            server.refuseIncomplete()
            server.closeConnections(CLOSE_MILLIS)
        }
        thread.schedule(CLOSE_MILLIS + REPORT_MILLIS) {
            log.info("The daemon has stopped.", LogField("active", front.activeCount))
            onClosed()
        }
    }
}

/** What is left of the grace period has to suffice for this and for the end of the process. */
private const val CLOSE_MILLIS = 100L

/** The connections that don't close in time are closed, and what they owe is logged, before the process ends. */
private const val REPORT_MILLIS = 30L
