package org.bulrushtack.core.log

/** The claimed calls and their outcomes, as recorded in the log, oldest first; old claims expire. */
public class ClaimTable {
    private val claims = LinkedHashMap<CallKey, ClaimEntry>()

    /** The number of claims. */
    public val size: Int get() = claims.size

    /** The claim of [call], or null. */
    public fun find(call: CallKey): ClaimEntry? = claims[call]

    /** The table as rows. */
    public fun rows(): List<LogState.ClaimRow> =
        claims.map { (call, entry) -> LogState.ClaimRow(call = call, entry = entry) }

    internal fun load(rows: List<LogState.ClaimRow>) {
        claims.clear()
        rows.forEach { claims[it.call] = it.entry }
    }

    internal fun claim(record: CallClaim, appendedAtMillis: Long): ApplyOutcome {
        if (record.call in claims) return ApplyOutcome.Rejected()
        claims[record.call] = ClaimEntry(
            claimId = record.id,
            claimant = record.claimant,
            claimantIncarnation = record.claimantIncarnation,
            fingerprint = record.fingerprint,
            claimedAtMillis = appendedAtMillis,
        )
        return ApplyOutcome.Accepted
    }

    internal fun release(record: CallRelease): ApplyOutcome {
        if (openClaim(record.call, record.claimId) == null) return ApplyOutcome.Rejected()
        claims.remove(record.call)
        return ApplyOutcome.Accepted
    }

    internal fun finish(record: CallOutcome): ApplyOutcome {
        val current = openClaim(record.call, record.claimId) ?: return ApplyOutcome.Rejected()
        claims[record.call] = current.copy(outcome = record)
        return ApplyOutcome.Accepted
    }

    internal fun expire(beforeMillis: Long) {
        val oldestFirst = claims.values.iterator()
        while (oldestFirst.hasNext() && oldestFirst.next().claimedAtMillis < beforeMillis) oldestFirst.remove()
    }

    private fun openClaim(call: CallKey, claimId: String): ClaimEntry? =
        claims[call]?.takeIf { it.claimId == claimId && it.outcome == null }
}
