package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Event
import org.bulrushtack.core.platform.VmDirectory
import org.bulrushtack.daemon.ComponentLog
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Reads the platform's VM list at a fixed interval; while it can't be read, the last list stays in use. */
class VmPoller(
    private val directory: VmDirectory,
    private val control: ControlThread,
    private val timer: ScheduledExecutorService,
) {
    private val log = ComponentLog(component = "vms")

    /** Starts polling. */
    fun start() {
        timer.scheduleWithFixedDelay({ poll() }, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** An unexpected error is logged, since it must not end the polling. */
    private fun poll() {
        val reply = runCatching { directory.read() }.getOrElse { CompletableFuture.failedFuture(it) }
        reply.whenComplete { result, failure ->
            result?.onRight { control.post(Event.VmListRead(records = it)) }
            if (failure != null) log.warn { "Reading the list of VMs failed unexpectedly: $failure." }
        }
    }
}

private const val POLL_INTERVAL_MILLIS = 1_000L
