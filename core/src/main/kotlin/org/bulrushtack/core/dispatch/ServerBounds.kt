package org.bulrushtack.core.dispatch

import org.bulrushtack.core.server.ServerSettings

/** The current capacity limits of a backend server, computed from its ledger and its settings. */
public class ServerBounds(
    private val ledger: Ledger,
    private val settings: ServerSettings,
) {
    /** The limit of concurrent requests, for all senders together. */
    public fun requestLimit(nowMillis: Long): Int {
        val rampSince = ledger.rampSinceMillis
        return when {
            !ledger.listed || ledger.incarnation == null -> 0
            ledger.cold || rampSince == null || ledger.suspectSinceMillis != null -> settings.coldConcurrency
            else -> rampLimit(elapsedMillis = nowMillis - rampSince)
        }
    }

    /**
     * Whether one more request fits within the limit and the owner's share of it. Unacknowledged dispatches are kept
     * within the limit of a cold server, since the server may have restarted cold without this daemon's knowledge.
     */
    public fun hasRoom(nowMillis: Long): Boolean {
        val limit = requestLimit(nowMillis)
        val own = ledger.running.size
        val fits = own < (limit * ledger.share).toInt() && own + ledger.foreignRequests.size < limit
        val unacknowledged = ledger.running.values.count { !it.acknowledged }
        return fits && unacknowledged < (settings.coldConcurrency * ledger.share).toInt()
    }

    /** Whether [work] fits into the server's memory, the owner's share of it, and the share of long work. */
    public fun fitsMemory(work: Work): Boolean {
        val tokens = work.reservedTokens
        val fitsShare = ledger.ownTokens() + tokens <= (ledger.capacityTokens * ledger.share).toLong()
        val fitsServer = ledger.heldTokens() + tokens <= ledger.capacityTokens
        return tokens == 0L || (fitsShare && fitsServer && fitsLongShare(tokens))
    }

    /** Whether [work] must wait for other long work to finish. */
    public fun waitsForLongShare(work: Work): Boolean = !fitsLongShare(work.reservedTokens)

    private fun rampLimit(elapsedMillis: Long): Int {
        val floor = maxOf(settings.coldConcurrency, ledger.rampFloor)
        val durationMillis = maxOf(1, settings.rampMillis)
        val increase = (settings.warmConcurrency - floor) * minOf(elapsedMillis, durationMillis) / durationMillis
        return minOf(settings.warmConcurrency, floor + increase.toInt())
    }

    private fun fitsLongShare(tokens: Long): Boolean {
        val longTokens = ledger.running.values.map { it.work.reservedTokens }.filter { it > settings.longTokens }.sum()
        val limit = ledger.capacityTokens * settings.longSharePercent / PERCENT
        return tokens <= settings.longTokens || longTokens == 0L || longTokens + tokens <= limit
    }
}

private const val PERCENT = 100
