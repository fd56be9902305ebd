package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree

/**
 * Folds the log into the state that all daemons agree on. The result depends on the entries alone, so that
 * every daemon decides each race in the same way.
 */
public class LogFolder {
    /** The settings tree through [appliedOffset]. */
    public var tree: SettingsTree = SettingsTree()
        private set

    /** The last offset that was folded; it never falls. */
    public var appliedOffset: Long = 0
        private set

    private val owners = LinkedHashMap<String, OwnerEntry>()
    private val claims = LinkedHashMap<CallKey, ClaimEntry>()
    private val recentIds = LinkedHashSet<String>()
    private val edits = ArrayDeque<EditSummary>()

    /** The recorded owner of [server], or null when none was ever recorded. */
    public fun owner(server: String): OwnerEntry? = owners[server]

    /** All recorded owners by backend server. */
    public fun owners(): Map<String, OwnerEntry> = owners

    /** The claim of [call], or null. */
    public fun claim(call: CallKey): ClaimEntry? = claims[call]

    /** How many claims are held. */
    public fun claimCount(): Int = claims.size

    /** The last edits, oldest first. */
    public fun edits(): List<EditSummary> = edits.toList()

    /** Whether a record with this identifier was folded lately. */
    public fun hasSeen(id: String): Boolean = id in recentIds

    /** Folds the next entry; entries at or below [appliedOffset] are passed over and give null. */
    public fun fold(entry: LogEntry): FoldedEntry? {
        if (entry.offset <= appliedOffset) return null
        appliedOffset = entry.offset
        expireClaims(nowMillis = entry.appendedAtMillis)
        val outcome = if (remember(entry.record.id)) effect(entry) else FoldOutcome.Duplicate
        return FoldedEntry(entry = entry, outcome = outcome)
    }

    /** Replaces the state by that of a snapshot, unless that would fall behind; says whether it did. */
    public fun load(state: LogState): Boolean {
        if (state.appliedOffset <= appliedOffset) return false
        appliedOffset = state.appliedOffset
        tree = state.tree()
        owners.clear()
        state.owners.forEach { owners[it.server] = it.entry }
        claims.clear()
        state.claims.forEach { claims[it.call] = it.entry }
        recentIds.clear()
        recentIds.addAll(state.recentIds)
        edits.clear()
        edits.addAll(state.edits)
        return true
    }

    /** The state for a snapshot. */
    public fun state(): LogState = LogState(
        appliedOffset = appliedOffset,
        settings = tree.values.map { (address, value) -> LogState.SettingRow(address = address, value = value) },
        owners = owners.map { (server, entry) -> LogState.OwnerRow(server = server, entry = entry) },
        claims = claims.map { (call, entry) -> LogState.ClaimRow(call = call, entry = entry) },
        recentIds = recentIds.toList(),
        edits = edits.toList(),
    )

    private fun remember(id: String): Boolean {
        if (!recentIds.add(id)) return false
        if (recentIds.size > REMEMBERED_IDS) recentIds.remove(recentIds.first())
        return true
    }

    private fun effect(entry: LogEntry): FoldOutcome = when (val record = entry.record) {
        is SettingsEdit -> edit(entry = entry, record = record)
        is OwnershipClaim -> claimOwnership(entry = entry, record = record)
        is OwnershipRelease -> releaseOwnership(entry = entry, record = record)
        is CallClaim -> claimCall(entry = entry, record = record)
        is CallRelease -> releaseCall(record)
        is CallOutcome -> finishCall(record)
        is Snapshot -> FoldOutcome.Accepted
        is UnreadableRecord -> FoldOutcome.Rejected()
    }

    private fun edit(entry: LogEntry, record: SettingsEdit): FoldOutcome {
        val conflicts = tree.conflicts(record.changes)
        if (conflicts.isEmpty()) tree = tree.apply(changes = record.changes, version = entry.offset)
        edits.addLast(
            EditSummary(
                id = record.id,
                offset = entry.offset,
                appendedAtMillis = entry.appendedAtMillis,
                operator = record.operator,
                changes = record.changes.map { if (it.address.key in SECRETS) it.copy(value = "(hidden)") else it },
                conflicts = conflicts,
            ),
        )
        if (edits.size > REMEMBERED_EDITS) edits.removeFirst()
        return if (conflicts.isEmpty()) FoldOutcome.Accepted else FoldOutcome.Rejected(conflicts = conflicts)
    }

    private fun claimOwnership(entry: LogEntry, record: OwnershipClaim): FoldOutcome {
        val current = owners[record.server]
        if ((current?.epoch ?: 0) != record.replacesEpoch) return FoldOutcome.Rejected()
        owners[record.server] = OwnerEntry(
            owner = record.owner,
            ownerIncarnation = record.ownerIncarnation,
            epoch = entry.offset,
            predecessors = current?.let { predecessorsAfter(it) }.orEmpty(),
        )
        return FoldOutcome.Accepted
    }

    private fun releaseOwnership(entry: LogEntry, record: OwnershipRelease): FoldOutcome {
        if (owners[record.server]?.epoch != record.epoch) return FoldOutcome.Rejected()
        owners[record.server] = OwnerEntry(
            owner = null,
            ownerIncarnation = null,
            epoch = entry.offset,
            predecessors = owners[record.server]?.predecessors.orEmpty(),
        )
        return FoldOutcome.Accepted
    }

    private fun predecessorsAfter(current: OwnerEntry): List<OwnerEntry.Predecessor> {
        val owner = current.owner ?: return current.predecessors
        val incarnation = current.ownerIncarnation ?: return current.predecessors
        val latest = OwnerEntry.Predecessor(owner = owner, incarnation = incarnation)
        return (current.predecessors - latest + latest).takeLast(REMEMBERED_PREDECESSORS)
    }

    private fun claimCall(entry: LogEntry, record: CallClaim): FoldOutcome {
        if (record.call in claims) return FoldOutcome.Rejected()
        claims[record.call] = ClaimEntry(
            claimId = record.id,
            claimant = record.claimant,
            claimantIncarnation = record.claimantIncarnation,
            fingerprint = record.fingerprint,
            claimedAtMillis = entry.appendedAtMillis,
        )
        return FoldOutcome.Accepted
    }

    private fun releaseCall(record: CallRelease): FoldOutcome {
        val current = claims[record.call]
        if (current?.claimId != record.claimId || current.outcome != null) return FoldOutcome.Rejected()
        claims.remove(record.call)
        return FoldOutcome.Accepted
    }

    private fun finishCall(record: CallOutcome): FoldOutcome {
        val current = claims[record.call]
        if (current?.claimId != record.claimId || current.outcome != null) return FoldOutcome.Rejected()
        claims[record.call] = current.copy(outcome = record)
        return FoldOutcome.Accepted
    }

    private fun expireClaims(nowMillis: Long) {
        val oldest = claims.values.iterator()
        while (oldest.hasNext() && oldest.next().claimedAtMillis < nowMillis - CALL_RETENTION_MILLIS) oldest.remove()
    }

    public companion object {
        /** How long a claimed call and its outcome are kept, by the platform's clock. */
        public const val CALL_RETENTION_MILLIS: Long = 2L * 60 * 60 * 1_000
    }
}

private const val REMEMBERED_IDS = 20_000
private const val REMEMBERED_EDITS = 400
private const val REMEMBERED_PREDECESSORS = 4
private val SECRETS = setOf(SettingsSchema.KEY_HASHES)
