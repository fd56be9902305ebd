package org.bulrushtack.core.log

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

    public val owners: OwnerTable = OwnerTable()
    public val claims: ClaimTable = ClaimTable()
    public val edits: EditHistory = EditHistory()

    private val recentIds = LinkedHashSet<String>()

    /** Whether a record with this identifier was folded lately. */
    public fun hasSeen(id: String): Boolean = id in recentIds

    /** Folds the next entry; entries at or below [appliedOffset] are passed over and give null. */
    public fun fold(entry: LogEntry): FoldedEntry? {
        if (entry.offset <= appliedOffset) return null
        appliedOffset = entry.offset
        claims.expire(beforeMillis = entry.appendedAtMillis - CALL_RETENTION_MILLIS)
        val outcome = if (remember(entry.record.id)) effect(entry) else FoldOutcome.Duplicate
        return FoldedEntry(entry = entry, outcome = outcome)
    }

    /** Replaces the state by that of a snapshot, unless that would fall behind; says whether it did. */
    public fun load(state: LogState): Boolean {
        if (state.appliedOffset <= appliedOffset) return false
        appliedOffset = state.appliedOffset
        tree = state.tree()
        owners.load(state.owners)
        claims.load(state.claims)
        edits.load(state.edits)
        recentIds.clear()
        recentIds.addAll(state.recentIds)
        return true
    }

    /** The state for a snapshot. */
    public fun state(): LogState = LogState(
        appliedOffset = appliedOffset,
        settings = tree.values.map { (address, value) -> LogState.SettingRow(address = address, value = value) },
        owners = owners.rows(),
        claims = claims.rows(),
        recentIds = recentIds.toList(),
        edits = edits.all(),
    )

    private fun remember(id: String): Boolean {
        if (!recentIds.add(id)) return false
        if (recentIds.size > REMEMBERED_IDS) recentIds.remove(recentIds.first())
        return true
    }

    private fun effect(entry: LogEntry): FoldOutcome = when (val record = entry.record) {
        is SettingsEdit -> edit(entry = entry, record = record)
        is OwnershipClaim -> owners.claim(record = record, offset = entry.offset)
        is OwnershipRelease -> owners.release(record = record, offset = entry.offset)
        is CallClaim -> claims.claim(record = record, appendedAtMillis = entry.appendedAtMillis)
        is CallRelease -> claims.release(record)
        is CallOutcome -> claims.finish(record)
        is Snapshot -> FoldOutcome.Accepted
        is UnreadableRecord -> FoldOutcome.Rejected()
    }

    private fun edit(entry: LogEntry, record: SettingsEdit): FoldOutcome {
        val conflicts = tree.conflicts(record.changes)
        if (conflicts.isEmpty()) tree = tree.apply(changes = record.changes, version = entry.offset)
        edits.add(entry = entry, record = record, conflicts = conflicts)
        return if (conflicts.isEmpty()) FoldOutcome.Accepted else FoldOutcome.Rejected(conflicts = conflicts)
    }

    public companion object {
        /** How long a claimed call and its outcome are kept, by the platform's clock. */
        public const val CALL_RETENTION_MILLIS: Long = 2L * 60 * 60 * 1_000
    }
}

private const val REMEMBERED_IDS = 20_000
