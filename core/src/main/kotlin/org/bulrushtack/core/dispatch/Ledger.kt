package org.bulrushtack.core.dispatch

import org.bulrushtack.core.server.ServerSettings

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
    public var listAskedAtMillis: Long? = null

    /** When a connection to the server was last lost without an explanation, or null. */
    public var suspectSinceMillis: Long? = null

    /** When the ramp from cold start began, or null. */
    public var rampSinceMillis: Long? = null

    /** How many requests the server ran when the ramp began. */
    public var rampFloor: Int = 0

    /** What this daemon has dispatched and not seen ended. */
    public val running: LinkedHashMap<WorkId, Charge> = LinkedHashMap()

    /** What the server's list shows beside [running], by the server's request identifier. */
    public var foreign: Map<String, RunningList.RunningRequest> = emptyMap()

    /** What waits, the next first. */
    public val queue: MutableList<Work> = ArrayList()

    /** How long the first of [queue] has not fitted, as the time when that began. */
    public var headBlockedSinceMillis: Long? = null

    /** Whether the server's list was read since this daemon took it over. */
    public val listed: Boolean get() = listAskedAtMillis != null

    /** Whether a list that was asked for after [askedAtMillis] has come before. */
    public fun isListedAfter(askedAtMillis: Long): Boolean = (listAskedAtMillis ?: Long.MIN_VALUE) > askedAtMillis

    /** Tokens that the server holds or is about to hold. */
    public fun heldTokens(): Long = ownTokens() + foreign.values.sumOf { it.reservedTokens }

    /** Tokens charged for this daemon's dispatches. */
    public fun ownTokens(): Long = running.values.sumOf { it.work.reservedTokens }

    /** The whole bound on requests at once, for all senders together. */
    public fun bound(settings: ServerSettings, nowMillis: Long): Int {
        val rampSince = rampSinceMillis
        return when {
            !listed || incarnation == null -> 0
            cold || rampSince == null || suspectSinceMillis != null -> settings.coldConcurrency
            else -> rampBound(settings = settings, elapsedMillis = nowMillis - rampSince)
        }
    }

    /**
     * Whether one more request fits under the bound and this daemon's share of it. Dispatches that the server has
     * not acknowledged are no more than it bears when cold, since it may have turned cold without a word.
     */
    public fun hasRoom(settings: ServerSettings, nowMillis: Long): Boolean {
        val bound = bound(settings = settings, nowMillis = nowMillis)
        val fitsBound = running.size < (bound * share).toInt() && running.size + foreign.size < bound
        val unacknowledged = running.values.count { !it.acknowledged }
        return fitsBound && unacknowledged < (settings.coldConcurrency * share).toInt()
    }

    /** Whether [work] fits into the server's memory, its own share of it, and the part that long work may take. */
    public fun fitsMemory(work: Work, settings: ServerSettings): Boolean {
        val tokens = work.reservedTokens
        if (tokens == 0L) return true
        val fitsShare = ownTokens() + tokens <= (capacityTokens * share).toLong()
        return fitsShare && heldTokens() + tokens <= capacityTokens && fitsLongShare(tokens, settings)
    }

    /** Whether [work] waits only for other long work to end. */
    public fun waitsForLongShare(work: Work, settings: ServerSettings): Boolean =
        !fitsLongShare(work.reservedTokens, settings)

    /** Takes over the server anew: nothing is known of it until its list was read. */
    public fun reset() {
        share = NO_SHARE
        raise = null
        listAskedAtMillis = null
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
        if ((listAskedAtMillis ?: Long.MIN_VALUE) >= since + SETTLING_MILLIS) share = allowed
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

    private fun rampBound(settings: ServerSettings, elapsedMillis: Long): Int {
        val floor = maxOf(settings.coldConcurrency, rampFloor)
        val length = maxOf(1, settings.rampMillis)
        val risen = (settings.warmConcurrency - floor) * minOf(elapsedMillis, length) / length
        return minOf(settings.warmConcurrency, floor + risen.toInt())
    }

    private fun fitsLongShare(tokens: Long, settings: ServerSettings): Boolean {
        if (tokens <= settings.longTokens) return true
        val longTokens = running.values.map { it.work.reservedTokens }.filter { it > settings.longTokens }.sum()
        val limit = capacityTokens * settings.longSharePercent / PERCENT
        return longTokens == 0L || longTokens + tokens <= limit
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

private const val PERCENT = 100
private const val SETTLING_MILLIS = 500L
