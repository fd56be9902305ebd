package org.bulrushtack.core.daemon

/**
 * What is known of a daemon.
 *
 * @property heardAtMillis the steady time at which it last spoke, to this daemon or to another one
 * @property spokeAtMillis the steady time at which it last spoke to this daemon, or null
 */
public data class DaemonObservation(
    val daemon: DaemonInfo,
    val heardAtMillis: Long,
    val spokeAtMillis: Long? = null,
) {
    /** What is known after [news]. Of one incarnation the later revision counts, whichever way it came. */
    internal fun with(news: DaemonObservation): DaemonObservation {
        val isLater = news.heardAtMillis > heardAtMillis
        val isChange = news.daemon.incarnation == daemon.incarnation && news.daemon.revision != daemon.revision
        val replaces = if (isChange) news.daemon.revision > daemon.revision else isLater
        return DaemonObservation(
            daemon = if (replaces) news.daemon else daemon,
            heardAtMillis = maxOf(heardAtMillis, news.heardAtMillis),
            spokeAtMillis = news.spokeAtMillis ?: spokeAtMillis,
        )
    }
}
