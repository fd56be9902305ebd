package org.bulrushtack.core.dispatch

/**
 * What an owner knows of one backend server: what it holds, how much it bears, and what waits for it. Memory is
 * charged before dispatch and freed only by the server's word or by its new incarnation.
 */
public class Ledger(
    public val server: String,
) {
    /** Whether this daemon owns the server now. */
    public var open: Boolean = false

    /** The fencing number of orders. */
    public var fence: Long = 0

    /** Since when [fence] is in use. */
    public var fenceSinceMillis: Long = 0

    /** Whether the server has accepted an order under [fence]. */
    public var fenceAccepted: Boolean = false

    /** The share of the server's bounds that this daemon may use, from 0 to 1. */
    public var share: Double = NO_SHARE
        private set

    private var raise: Raise? = null

    /** The server's incarnation, or null until its list was read. */
    public var incarnation: String? = null

    /** Whether the server may be in cold start. */
    public var cold: Boolean = true

    /** Whether the server said that it is leaving. */
    public var leaving: Boolean = false

    /** The server's memory, in tokens. */
    public var capacityTokens: Long = 0

    /** When the last list of the server was asked for, or null before the first since this daemon took it over. */
    public var listRequestedAtMillis: Long? = null

    /** When a connection to the server was last lost without an explanation, or null. */
    public var suspectSinceMillis: Long? = null

    /** When the ramp from cold start began, or null. */
    public var rampSinceMillis: Long? = null

    /** How many requests the server ran when the ramp began. */
    public var rampFloor: Int = 0

    /** What this daemon has dispatched and not seen ended. */
    public val running: LinkedHashMap<WorkId, Charge> = LinkedHashMap()

    /** What the server's list shows beside [running], by the server's request identifier. */
    public var foreignRequests: Map<String, RunningList.RunningRequest> = emptyMap()

    /** What waits, the next first. */
    public val queue: MutableList<Work> = ArrayList()

    /** How long the first of [queue] has not fitted, as the time when that began. */
    public var headBlockedSinceMillis: Long? = null

    /** Whether the server's list was read since this daemon took it over. */
    public val listed: Boolean get() = listRequestedAtMillis != null

    /** Whether a list that was asked for after [requestedAtMillis] has come before. */
    public fun isListedAfter(requestedAtMillis: Long): Boolean = (listRequestedAtMillis ?: Long.MIN_VALUE) > requestedAtMillis

    /** Tokens that the server holds or is about to hold. */
    public fun heldTokens(): Long = ownTokens() + foreignRequests.values.sumOf { it.reservedTokens }

    /** Tokens charged for this daemon's dispatches. */
    public fun ownTokens(): Long = running.values.sumOf { it.work.reservedTokens }

    /** Takes over the server anew: nothing is known of it until its list was read. */
    public fun reset() {
        share = NO_SHARE
        raise = null
        listRequestedAtMillis = null
        fenceAccepted = false
        rampSinceMillis = null
        rampFloor = 0
        cold = true
    }

    /**
     * Lowers the share to [allowed] at once. A higher one counts only after the server was listed anew, some time
     * after it was allowed, so that what another owner sent until then is seen and counted.
     */
    internal fun grant(allowed: Double, nowMillis: Long) {
        if (allowed <= share) {
            share = allowed
            raise = null
            return
        }
        val since = raise?.takeIf { it.share == allowed }?.sinceMillis ?: nowMillis
        raise = Raise(share = allowed, sinceMillis = since)
        if ((listRequestedAtMillis ?: Long.MIN_VALUE) >= since + SETTLING_MILLIS) share = allowed
    }

    /** Ends the ownership: nothing more may be sent. */
    internal fun close() {
        open = false
        share = NO_SHARE
    }

    /** Notes that the server answered a dispatch under its present incarnation. */
    internal fun acknowledge(id: WorkId) {
        running.computeIfPresent(id) { _, charge -> charge.copy(acknowledged = true) }
    }

    /** Notes that the connection of a dispatch was lost while the server may still hold it. */
    internal fun lose(id: WorkId, nowMillis: Long) {
        val charge = running[id] ?: return
        running[id] = charge.copy(lostAtMillis = nowMillis)
        suspectSinceMillis = nowMillis
    }

    /**
     * One dispatch.
     *
     * @property acknowledged whether the server has answered it under the incarnation that this daemon knows
     * @property lostAtMillis when its connection was lost while the server may still hold it, or null
     */
    public data class Charge(
        val work: Work,
        val startedAtMillis: Long,
        val acknowledged: Boolean = false,
        val lostAtMillis: Long? = null,
    )

    private data class Raise(
        val share: Double,
        val sinceMillis: Long,
    )

    public companion object {
        /** The share of a confirmed owner without an uncertain predecessor. */
        public const val FULL_SHARE: Double = 1.0

        /** The share of an owner that is not sure to be the only one. */
        public const val HALF_SHARE: Double = 0.5

        /** The share of a daemon that must not dispatch. */
        public const val NO_SHARE: Double = 0.0
    }
}

private const val SETTLING_MILLIS = 500L
