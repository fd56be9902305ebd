package org.bulrushtack.daemon.settings

import org.bulrushtack.forward.ForwardSettings

/** The settings of a daemon, by the kind of daemon. */
sealed interface DaemonSettings {
    /** The lowest level of the log lines that are written. */
    val logLevel: String

    /** A daemon with its own interface for callers, which schedules the work of each backend server that it owns. */
    data class Entry(val settings: ProcessSettings) : DaemonSettings {
        override val logLevel: String get() = settings.logLevel
    }

    /** A daemon that forwards requests on the platform. */
    data class Forwarding(val settings: ForwardSettings) : DaemonSettings {
        override val logLevel: String get() = settings.logLevel
    }
}
