package org.bulrushtack.standin

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService

/** Creates the scheduled executors of the stand-ins. */
internal object StandInTimer {
    /** Creates a scheduled executor with one daemon thread, which doesn't keep the process alive. */
    fun create(name: String): ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, name).also { it.isDaemon = true }
    }
}
