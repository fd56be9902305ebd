package org.bulrushtack.forward.lifecycle

import org.bulrushtack.forward.ForwardSettings

/** The settings in force. Only the network thread reads and writes it. */
internal class LiveSettings(
    settings: ForwardSettings,
) {
    /** The newest settings, except for those that only take effect at a start: they keep their first values. */
    var current: ForwardSettings = settings
        private set

    /** Applies what may change at run time; returns true when other settings differ, which need a restart. */
    fun update(settings: ForwardSettings): Boolean {
        current = current.copy(
            seeds = settings.seeds,
            graceMillis = settings.graceMillis,
            retryRatio = settings.retryRatio,
            retrySlack = settings.retrySlack,
            directoryKeepMillis = settings.directoryKeepMillis,
            reservationFreeMillis = settings.reservationFreeMillis,
            responseBytes = settings.responseBytes,
        )
        return current != settings
    }
}
