package org.bulrushtack.daemon.testing

/** A daemon that a test has started. */
internal interface RunningDaemon {
    val httpPort: Int
    val peerPort: Int

    /** Ends it at once. */
    fun stop()
}
