package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Event
import org.bulrushtack.core.platform.VmDirectory
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Reads the platform's VM list at a fixed interval; while it can't be read, the last list counts. */
class VmPoller(
    private val directory: VmDirectory,
    private val control: ControlThread,
    private val timer: ScheduledExecutorService,
) {
    /** Starts reading. */
    fun start() {
        timer.scheduleWithFixedDelay({ poll() }, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun poll() {
        directory.read().thenAccept { answer ->
            answer.onRight { control.post(Event.VmListRead(records = it)) }
        }
    }
}

private const val INTERVAL_MILLIS = 1_000L
