package org.bulrushtack.daemon.lifecycle

import org.bulrushtack.daemon.settings.DaemonSettings
import org.bulrushtack.daemon.settings.SettingsFile
import org.bulrushtack.forward.ForwardSettings
import org.bulrushtack.forward.lifecycle.ForwardingDaemon
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.platform.PlatformAdapter
import sun.misc.Signal
import java.nio.file.Path

/** A process that forwards requests: SIGTERM begins its shutdown, SIGHUP has its settings read again. */
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
        while (!daemon.awaitTermination(SETTINGS_LOOK_MILLIS)) reload(reason = "look")
        Runtime.getRuntime().halt(0)
    }

    @Synchronized
    private fun reload(reason: String) = SettingsFile(file).read().fold(
        ifLeft = { faults ->
            daemon.logSettings(
                "The settings file has faults; the settings stay as they are.",
                listOf(LogField("reason", reason), LogField("fault", faults.first())),
            )
        },
        ifRight = { read ->
            val changed = read is DaemonSettings.Forwarding && read.settings != current
            if (changed) {
                current = (read as DaemonSettings.Forwarding).settings
                daemon.applySettings(current, reason)
            } else if (reason != "look") {
                val fields = listOf(LogField("reason", reason), LogField("changed", false))
                daemon.logSettings("The settings were read again.", fields)
            }
        },
    )
}

/** The platform may change the file without a signal. */
private const val SETTINGS_LOOK_MILLIS = 5_000L
