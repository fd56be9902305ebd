package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Event
import org.bulrushtack.core.platform.VmDirectory
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Reads the platform's VM list at a fixed interval; while it can't be read, the last list stays in use. */
class VmPoller(
    private val directory: VmDirectory,
    private val control: ControlThread,
    private val timer: ScheduledExecutorService,
) {
    /** Starts polling. */
    fun start() {
        timer.scheduleWithFixedDelay({ poll() }, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun poll() {
        directory.read().thenAccept { result ->
            result.onRight { control.post(Event.VmListRead(records = it)) }
        }
    }
}

private const val POLL_INTERVAL_MILLIS = 1_000L
