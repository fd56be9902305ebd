package org.bulrushtack.forward.exchange

/** Decides when a draining daemon stops accepting requests and when its process exits. */
internal class DrainState(
    private val graceMillis: () -> Long,
) {
    private var current: Drain? = null

    /** Records the start of the shutdown with the grace period in force; later calls have no effect. */
    fun start(nowMillis: Long) {
        if (current == null) current = Drain(startedAtMillis = nowMillis, graceMillis = graceMillis())
    }

    /** Whether new requests are rejected because they could not complete before the process exits. */
    fun rejectsNewRequests(nowMillis: Long): Boolean =
        current?.let { nowMillis >= it.atPercent(ACCEPT_PERCENT) } ?: false

    /**
     * Whether a request that arrives now may be passed on because it is expected to complete before the process exits.
     * A later one must be certain to.
     */
    fun trustsEstimates(nowMillis: Long): Boolean =
        current?.let { nowMillis < it.atPercent(ESTIMATE_PERCENT) } ?: true

    /** Whether callers have had time to discover other daemons, so that an idle process may exit. */
    fun mayExit(nowMillis: Long): Boolean = rejectsNewRequests(nowMillis)

    /** Whether a response that is complete at [endAtMillis] is complete before the process exits. */
    fun leavesTimeUntil(endAtMillis: Long): Boolean =
        current?.let { endAtMillis <= it.exitAtMillis - FINAL_RESPONSE_MILLIS } ?: true

    /** Whether all requests in flight have to get their final response now. */
    fun mustRespond(nowMillis: Long): Boolean = !leavesTimeUntil(nowMillis)

    /** Whether the process has to exit even with requests in flight. */
    fun mustExit(nowMillis: Long): Boolean = current?.let { nowMillis >= it.exitAtMillis } ?: false

    private class Drain(
        private val startedAtMillis: Long,
        private val graceMillis: Long,
    ) {
        val exitAtMillis: Long get() = startedAtMillis + graceMillis - MARGIN_MILLIS

        fun atPercent(percent: Int): Long = startedAtMillis + graceMillis * percent / PERCENT
    }
}

/** By then callers have fetched a directory response that no longer lists this daemon. */
private const val ACCEPT_PERCENT = 45
private const val PERCENT = 100

/** Until then a caller may not have learned of the shutdown. */
private const val ESTIMATE_PERCENT = 35

/** The part of the grace period that the process needs to exit. */
private const val MARGIN_MILLIS = 300L

/** The time in which the last responses reach their callers. */
private const val FINAL_RESPONSE_MILLIS = 200L
