package org.bulrushtack.daemon.settings

import org.bulrushtack.forward.ForwardSettings

/** The settings of one of the two kinds of daemon. */
sealed interface DaemonSettings {
    /** The least level of log lines that are written. */
    val logLevel: String

    /** A daemon with an interface of its own, which plans work for each backend server that it owns. */
    data class Entry(val settings: ProcessSettings) : DaemonSettings {
        override val logLevel: String get() = settings.logLevel
    }

    /** A daemon that forwards requests on the platform. */
    data class Forwarding(val settings: ForwardSettings) : DaemonSettings {
        override val logLevel: String get() = settings.logLevel
    }
}
