package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.daemon.settings.DaemonSettings
import org.bulrushtack.daemon.settings.SettingsFile
import org.bulrushtack.forward.ForwardSettings
import org.bulrushtack.forward.lifecycle.ForwardingDaemon
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.platform.PlatformAdapter
import sun.misc.Signal
import java.nio.file.Path

/** A process that forwards requests: SIGTERM starts a graceful shutdown, SIGHUP reloads the settings file. */
internal class ForwardingProcess(
    private val file: Path,
    settings: ForwardSettings,
    incarnation: String,
    seed: Long,
) {
    private val daemon = ForwardingDaemon(
        settings = settings,
        platform = PlatformAdapter(),
        incarnation = incarnation,
        seed = seed,
    )
    private var current = settings

    /** Runs until the shutdown is complete. */
    fun run() {
        Signal.handle(Signal("TERM")) { daemon.drain() }
        Signal.handle(Signal("INT")) { daemon.drain() }
        Signal.handle(Signal("HUP")) { reload(reason = "SIGHUP") }
        daemon.start()
        do reload(reason = POLL_REASON) while (!daemon.awaitTermination(SETTINGS_POLL_MILLIS))
        Runtime.getRuntime().halt(0)
    }

    @Synchronized
    private fun reload(reason: String) = SettingsFile(file).read().fold(
        ifLeft = { errors ->
            daemon.logSettings(
                "The settings file has validation errors; the settings in force are kept.",
                listOf(LogField("reason", reason), LogField("fault", errors.first())),
            )
        },
        ifRight = { read ->
            val changed = read is DaemonSettings.Forwarding && read.settings != current
            if (changed) {
                current = (read as DaemonSettings.Forwarding).settings
                daemon.applySettings(current, reason)
            } else if (reason != POLL_REASON) {
                val fields = listOf(LogField("reason", reason), LogField("changed", false))
                daemon.logSettings("The settings were read again.", fields)
            }
        },
    )
}

private const val POLL_REASON = "look"

/** The file is polled because the platform may change it without sending a signal. */
private const val SETTINGS_POLL_MILLIS = 5_000L
