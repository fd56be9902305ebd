package org.bulrushtack.core.dispatch

import org.bulrushtack.core.server.ServerSettings

/** How much a backend server bears now, from its ledger and its settings. */
public class ServerBounds(
    private val ledger: Ledger,
    private val settings: ServerSettings,
) {
    /** The whole bound on requests at once, for all senders together. */
    public fun requests(nowMillis: Long): Int {
        val rampSince = ledger.rampSinceMillis
        return when {
            !ledger.listed || ledger.incarnation == null -> 0
            ledger.cold || rampSince == null || ledger.suspectSinceMillis != null -> settings.coldConcurrency
            else -> onRamp(elapsedMillis = nowMillis - rampSince)
        }
    }

    /**
     * Whether one more request fits under the bound and the owner's share of it. Dispatches that the server has
     * not acknowledged are no more than it bears when cold, since it may have turned cold without a word.
     */
    public fun hasRoom(nowMillis: Long): Boolean {
        val bound = requests(nowMillis)
        val own = ledger.running.size
        val fits = own < (bound * ledger.share).toInt() && own + ledger.foreignRequests.size < bound
        val unacknowledged = ledger.running.values.count { !it.acknowledged }
        return fits && unacknowledged < (settings.coldConcurrency * ledger.share).toInt()
    }

    /** Whether [work] fits into the server's memory, the owner's share of it, and the part that long work may take. */
    public fun fitsMemory(work: Work): Boolean {
        val tokens = work.reservedTokens
        val fitsShare = ledger.ownTokens() + tokens <= (ledger.capacityTokens * ledger.share).toLong()
        val fitsServer = ledger.heldTokens() + tokens <= ledger.capacityTokens
        return tokens == 0L || (fitsShare && fitsServer && fitsLongShare(tokens))
    }

    /** Whether [work] waits only for other long work to end. */
    public fun waitsForLongShare(work: Work): Boolean = !fitsLongShare(work.reservedTokens)

    private fun onRamp(elapsedMillis: Long): Int {
        val floor = maxOf(settings.coldConcurrency, ledger.rampFloor)
        val length = maxOf(1, settings.rampMillis)
        val risen = (settings.warmConcurrency - floor) * minOf(elapsedMillis, length) / length
        return minOf(settings.warmConcurrency, floor + risen.toInt())
    }

    private fun fitsLongShare(tokens: Long): Boolean {
        val longTokens = ledger.running.values.map { it.work.reservedTokens }.filter { it > settings.longTokens }.sum()
        val limit = ledger.capacityTokens * settings.longSharePercent / PERCENT
        return tokens <= settings.longTokens || longTokens == 0L || longTokens + tokens <= limit
    }
}

private const val PERCENT = 100
