package org.bulrushtack.standin

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService

/** Makes the threads on which stand-ins do what takes time. */
internal object StandInTimer {
    /** A timer on one thread that doesn't keep the process alive. */
    fun create(name: String): ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, name).also { it.isDaemon = true }
    }
}
