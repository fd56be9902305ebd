package org.bulrushtack.core.duty

import org.bulrushtack.core.daemon.DaemonInfo

/**
 * Decides when a daemon that does not hold the duties reads the recorded claim and when it may claim. The recorded
 * holder counts as present while it is live and announces its token. The first candidate claims one lease after it was
 * last live, and at once where it has withdrawn its claim; the next ones follow in steps, since the store may
 * turn a single daemon away.
 *
 * @param name the name of this daemon
 */
public class ClaimPolicy(
    private val name: String,
    private val leaseMillis: Long,
) {
    private var announced: DaemonInfo? = null
    private var firstAnnouncedAtMillis = 0L
    private var announcedAtMillis = 0L
    private var hasWithdrawn = false
    private var vacantSinceMillis: Long? = null
    private var recorded: Recorded? = null
    private var notBeforeMillis = Long.MIN_VALUE

    /** Takes in the other daemons that are [live] at [nowMillis]. */
    public fun observe(live: List<DaemonInfo>, nowMillis: Long) {
        val holder = live.filter { it.dutyToken != null }.maxByOrNull { it.dutyToken ?: 0 }
        if (holder == null) {
            vacantSinceMillis = vacantSinceMillis ?: nowMillis
            hasWithdrawn = hasWithdrawn || live.any { it.incarnation == announced?.incarnation }
        } else {
            if (holder.dutyToken != announced?.dutyToken) firstAnnouncedAtMillis = nowMillis
            announced = holder
            announcedAtMillis = nowMillis
            hasWithdrawn = false
            vacantSinceMillis = null
            recorded = null
        }
    }

    /** Takes in the newest claim that the store holds, or null if it holds none. */
    public fun onRecordRead(claim: HolderClaim?, nowMillis: Long) {
        val known = recorded?.takeIf { it.claim?.token == claim?.token }
        recorded = known ?: Recorded(claim, firstReadAtMillis = nowMillis)
    }

    /** Records that this daemon lost the duties; it claims again a whole lease later at the earliest. */
    public fun onHoldLost(nowMillis: Long) {
        notBeforeMillis = nowMillis + leaseMillis
        vacantSinceMillis = null
        recorded = null
    }

    /** Whether the daemon at [position] among the candidates, from 0, should read the recorded claim. */
    public fun isReadDue(position: Int, nowMillis: Long): Boolean {
        val vacant = vacantSinceMillis
        val canClaim = position in 0 until CANDIDATES && nowMillis >= notBeforeMillis
        val dueMillis = vacant?.let { earliestMillis(position) ?: firstReadMillis(position, it) }
        return canClaim && dueMillis != null && nowMillis >= dueMillis
    }

    /** Whether the daemon at [position] may claim, on the condition that the store still holds the claim last read. */
    public fun mayClaim(position: Int, nowMillis: Long): Boolean {
        val earliestMillis = earliestMillis(position)
        return earliestMillis != null && earliestMillis <= nowMillis && isReadDue(position, nowMillis)
    }

    /** Only the first candidate reads at once, since every call to the store has a price. */
    private fun firstReadMillis(position: Int, vacantSince: Long): Long =
        vacantSince + position * STEP_MILLIS + if (position == 0 || hasWithdrawn) 0 else leaseMillis

    /** Null until the recorded claim was read. */
    private fun earliestMillis(position: Int): Long? {
        val known = recorded
        val claim = known?.claim
        val presentUntilMillis = when {
            known == null -> null
            claim == null -> maxOf(known.firstReadAtMillis, earliestReturnMillis())
            claim.name == name -> known.firstReadAtMillis
            claim.token != announced?.dutyToken -> known.firstReadAtMillis + leaseMillis
            hasWithdrawn -> vacantSinceMillis?.let { maxOf(it, earliestReturnMillis()) }
            else -> announcedAtMillis + leaseMillis
        }
        return presentUntilMillis?.let { it + position * STEP_MILLIS }
    }

    /** A holder that gives up soon must not let the duties return to an earlier holder within one lease. */
    private fun earliestReturnMillis(): Long =
        if (announced == null) Long.MIN_VALUE else firstAnnouncedAtMillis + leaseMillis

    private class Recorded(
        val claim: HolderClaim?,
        val firstReadAtMillis: Long,
    )
}

/** The candidates that claim in turn; more would only add calls to the store while it is away. */
private const val CANDIDATES = 3

/** A read and an append of a store that takes 100 ms, and one sync that announces the new holder. */
private const val STEP_MILLIS = 600L
