package org.bulrushtack.daemon.testing

/** A daemon that a test started. */
internal interface RunningDaemon {
    val httpPort: Int
    val peerPort: Int

    /** Stops the daemon at once, without a graceful shutdown. */
    fun stop()
}
