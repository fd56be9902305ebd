package org.bulrushtack.forward.life

import org.bulrushtack.forward.ForwardSettings

/** The settings in force. Only the network thread reads and writes it. */
internal class LiveSettings(
    settings: ForwardSettings,
) {
    /** The newest settings; what only counts at the start of a daemon stays as it was. */
    var current: ForwardSettings = settings
        private set

    /** Takes over what may change while the daemon runs; gives true when the rest needs a new start. */
    fun change(settings: ForwardSettings): Boolean {
        current = current.copy(
            seeds = settings.seeds,
            graceMillis = settings.graceMillis,
            retryRatio = settings.retryRatio,
            retrySlack = settings.retrySlack,
            directoryKeepMillis = settings.directoryKeepMillis,
            reservationFreeMillis = settings.reservationFreeMillis,
        )
        return current != settings
    }
}
