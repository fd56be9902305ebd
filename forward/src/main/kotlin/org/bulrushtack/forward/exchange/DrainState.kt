package org.bulrushtack.forward.exchange

/** When a daemon that is shutting down stops taking requests. */
internal class DrainState(
    private val graceMillis: () -> Long,
) {
    private var startedAtMillis: Long? = null

    /** Notes the start of the shutdown. */
    fun start(nowMillis: Long) {
        if (startedAtMillis == null) startedAtMillis = nowMillis
    }

    /** Whether a request that arrives now could not end before the process does. */
    fun refusesNew(nowMillis: Long): Boolean = startedAtMillis.let { it != null && nowMillis - it >= acceptMillis }

    /** Whether callers have had time to learn of other daemons. */
    fun mayEnd(nowMillis: Long): Boolean = startedAtMillis.let { it != null && nowMillis - it >= acceptMillis }

    /** Whether the process has to end whatever it still does. */
    fun mustEnd(nowMillis: Long): Boolean =
        startedAtMillis.let { it != null && nowMillis - it >= graceMillis() - MARGIN_MILLIS }

    private val acceptMillis: Long get() = graceMillis() * ACCEPT_PERCENT / PERCENT
}

/** Callers that come later find the answer of the directory that no longer names this daemon. */
private const val ACCEPT_PERCENT = 45
private const val PERCENT = 100

/** The process needs some of the grace to end. */
private const val MARGIN_MILLIS = 300L
