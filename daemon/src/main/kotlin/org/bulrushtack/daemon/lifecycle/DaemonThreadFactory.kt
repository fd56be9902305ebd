package org.bulrushtack.daemon.lifecycle

import java.util.concurrent.ThreadFactory

/** Creates JVM daemon threads, which don't keep the process alive. */
internal class DaemonThreadFactory(
    private val name: String,
) : ThreadFactory {
    override fun newThread(task: Runnable): Thread = Thread(task, name).also { it.isDaemon = true }
}
