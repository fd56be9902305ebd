package org.bulrushtack.core.dispatch

/**
 * An owner's record of one backend server: what it holds, how much it can handle, and what is queued for it. Memory
 * is reserved before a dispatch and released only when the server confirms it or starts a new incarnation.
 */
public class Ledger(
    public val server: String,
) {
    /** Whether this daemon currently owns the server. */
    public var open: Boolean = false

    /** The fencing number that requests to the server carry. */
    public var fence: Long = 0

    /** When [fence] came into use. */
    public var fenceSinceMillis: Long = 0

    /** Whether the server has accepted a request under [fence]. */
    public var fenceAccepted: Boolean = false

    /** The share of the server's bounds that this daemon may use, from 0 to 1. */
    public var share: Double = NO_SHARE
        private set

    private var pendingIncrease: ShareIncrease? = null

    /** The server's incarnation, or null until it is known. */
    public var incarnation: String? = null

    /** Whether the server may be in cold start. */
    public var cold: Boolean = true

    /** Whether the server reported that it is leaving (draining). */
    public var leaving: Boolean = false

    /** The server's memory, in tokens. */
    public var capacityTokens: Long = 0

    /** When the last list read from the server was requested, or null if none was read since the takeover. */
    public var listRequestedAtMillis: Long? = null

    /** When the connection of a dispatch was last lost, or null once the server has been listed since. */
    public var suspectSinceMillis: Long? = null

    /** When the ramp from cold start began, or null. */
    public var rampSinceMillis: Long? = null

    /** How many requests the server ran when the ramp began. */
    public var rampFloor: Int = 0

    /** Dispatches of this daemon that aren't known to have finished. */
    public val running: LinkedHashMap<WorkId, Dispatch> = LinkedHashMap()

    /** Requests in the server's list that aren't in [running], by the server's request identifier. */
    public var foreignRequests: Map<String, RunningList.RunningRequest> = emptyMap()

    /** Work that waits for dispatch, in dispatch order. */
    public val queue: MutableList<Work> = ArrayList()

    /** Since when the first work of [queue] that is within the long share hasn't fitted, or null. */
    public var headBlockedSinceMillis: Long? = null

    /** Whether the server's list was read since this daemon took the server over. */
    public val listed: Boolean get() = listRequestedAtMillis != null

    /** Whether a list requested after [requestedAtMillis] has already been read. */
    public fun hasNewerList(requestedAtMillis: Long): Boolean =
        (listRequestedAtMillis ?: Long.MIN_VALUE) > requestedAtMillis

    /** Tokens reserved on the server, by this daemon's dispatches and by requests of other owners. */
    public fun heldTokens(): Long = ownTokens() + foreignRequests.values.sumOf { it.reservedTokens }

    /** Tokens reserved by this daemon's dispatches. */
    public fun ownTokens(): Long = running.values.sumOf { it.work.reservedTokens }

    /** Discards the server's state at a takeover; the state is unknown until the server's list was read. */
    public fun reset() {
        share = NO_SHARE
        pendingIncrease = null
        listRequestedAtMillis = null
        fenceAccepted = false
        rampSinceMillis = null
        rampFloor = 0
        cold = true
    }

    /**
     * Lowers the share to [allowed] at once. An increase takes effect only with a list that was requested some time
     * after the increase was allowed, so that requests sent by another owner until then are listed and counted.
     */
    internal fun updateShare(allowed: Double, nowMillis: Long) {
        if (allowed <= share) {
            share = allowed
            pendingIncrease = null
            return
        }
        val since = pendingIncrease?.takeIf { it.share == allowed }?.sinceMillis ?: nowMillis
        pendingIncrease = ShareIncrease(share = allowed, sinceMillis = since)
        if ((listRequestedAtMillis ?: Long.MIN_VALUE) >= since + SHARE_INCREASE_DELAY_MILLIS) share = allowed
    }

    /** Ends the ownership; nothing more may be dispatched. */
    internal fun close() {
        open = false
        share = NO_SHARE
    }

    /** Records that the server responded to a dispatch under its current incarnation. */
    internal fun acknowledge(id: WorkId) {
        running.computeIfPresent(id) { _, dispatch -> dispatch.copy(acknowledged = true) }
    }

    /** Records that the connection of a dispatch was lost while the server may still hold the request. */
    internal fun markLost(id: WorkId, nowMillis: Long) {
        val dispatch = running[id] ?: return
        running[id] = dispatch.copy(lostAtMillis = nowMillis)
        suspectSinceMillis = nowMillis
    }

    /**
     * A dispatch of work to the server.
     *
     * @property acknowledged whether the server has responded to it under the incarnation that this daemon knows
     * @property lostAtMillis when its connection was lost while the server may still hold the request, or null
     */
    public data class Dispatch(
        val work: Work,
        val startedAtMillis: Long,
        val acknowledged: Boolean = false,
        val lostAtMillis: Long? = null,
    )

    private data class ShareIncrease(
        val share: Double,
        val sinceMillis: Long,
    )

    public companion object {
        /** The share of a confirmed owner whose predecessors are known to have stopped dispatching. */
        public const val FULL_SHARE: Double = 1.0

        /** The share of an owner beside which another daemon may be dispatching. */
        public const val HALF_SHARE: Double = 0.5

        /** The share of a daemon that must not dispatch. */
        public const val NO_SHARE: Double = 0.0
    }
}

private const val SHARE_INCREASE_DELAY_MILLIS = 500L
