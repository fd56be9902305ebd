package org.bulrushtack.forward.exchange

/** Decides when a draining daemon stops accepting requests and when its process exits. */
internal class DrainState(
    private val graceMillis: () -> Long,
) {
    private var startedAtMillis: Long? = null

    /** Records the start of the shutdown; later calls have no effect. */
    fun start(nowMillis: Long) {
        if (startedAtMillis == null) startedAtMillis = nowMillis
    }

    /** Whether new requests are rejected because they could not complete before the process exits. */
    fun rejectsNewRequests(nowMillis: Long): Boolean =
        startedAtMillis.let { it != null && nowMillis - it >= acceptMillis }

    /** Whether callers have had time to discover other daemons, so that an idle process may exit. */
    fun mayExit(nowMillis: Long): Boolean = startedAtMillis.let { it != null && nowMillis - it >= acceptMillis }

    /** Whether a response that is complete at [endAtMillis] is complete before the process exits. */
    fun leavesTimeUntil(endAtMillis: Long): Boolean =
        startedAtMillis.let { it == null || endAtMillis <= it + graceMillis() - MARGIN_MILLIS - FINAL_RESPONSE_MILLIS }

    /** Whether all requests in flight have to get their final response now. */
    fun mustRespond(nowMillis: Long): Boolean = !leavesTimeUntil(nowMillis)

    /** Whether the process has to exit even with requests in flight. */
    fun mustExit(nowMillis: Long): Boolean =
        startedAtMillis.let { it != null && nowMillis - it >= graceMillis() - MARGIN_MILLIS }

    private val acceptMillis: Long get() = graceMillis() * ACCEPT_PERCENT / PERCENT
}

/** By then callers have fetched a directory response that no longer lists this daemon. */
private const val ACCEPT_PERCENT = 45
private const val PERCENT = 100

/** The part of the grace period that the process needs to exit. */
private const val MARGIN_MILLIS = 300L

/** The time in which the last responses reach their callers. */
private const val FINAL_RESPONSE_MILLIS = 200L
