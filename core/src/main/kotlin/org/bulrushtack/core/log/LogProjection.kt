package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingsTree

/**
 * Applies the entries of the log, in order, to the state that all daemons share. The result depends on the entries
 * alone, so that every daemon decides each race in the same way.
 */
public class LogProjection {
    /** The settings tree through [appliedOffset]. */
    public var tree: SettingsTree = SettingsTree()
        private set

    /** The offset of the last applied entry; it never decreases. */
    public var appliedOffset: Long = 0
        private set

    public val owners: OwnerTable = OwnerTable()
    public val claims: ClaimTable = ClaimTable()
    public val edits: EditHistory = EditHistory()

    private val recentIds = LinkedHashSet<String>()

    /** Whether [id] is among the identifiers of recently applied records. */
    public fun hasRecentId(id: String): Boolean = id in recentIds

    /** Applies the next entry; returns null for an entry at or below [appliedOffset], which is skipped. */
    public fun apply(entry: LogEntry): AppliedEntry? {
        if (entry.offset <= appliedOffset) return null
        appliedOffset = entry.offset
        claims.expire(beforeMillis = entry.appendedAtMillis - CALL_RETENTION_MILLIS)
        val outcome = if (addRecentId(entry.record.id)) applyRecord(entry) else ApplyOutcome.Duplicate
        return AppliedEntry(entry = entry, outcome = outcome)
    }

    /** Replaces the state with [state] and returns true, unless [state] isn't newer than [appliedOffset]. */
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

    /** The current state, as a snapshot records it. */
    public fun state(): LogState = LogState(
        appliedOffset = appliedOffset,
        settings = tree.values.map { (address, value) -> LogState.SettingRow(address = address, value = value) },
        owners = owners.rows(),
        claims = claims.rows(),
        recentIds = recentIds.toList(),
        edits = edits.all(),
    )

    private fun addRecentId(id: String): Boolean {
        if (!recentIds.add(id)) return false
        if (recentIds.size > MAXIMUM_RECENT_IDS) recentIds.remove(recentIds.first())
        return true
    }

    private fun applyRecord(entry: LogEntry): ApplyOutcome = when (val record = entry.record) {
        is SettingsEdit -> applyEdit(entry = entry, record = record)
        is OwnershipClaim -> owners.claim(record = record, offset = entry.offset)
        is OwnershipRelease -> owners.release(record = record, offset = entry.offset)
        is CallClaim -> claims.claim(record = record, appendedAtMillis = entry.appendedAtMillis)
        is CallRelease -> claims.release(record)
        is CallOutcome -> claims.finish(record)
        is Snapshot -> ApplyOutcome.Accepted
        is UnreadableRecord -> ApplyOutcome.Rejected()
    }

    private fun applyEdit(entry: LogEntry, record: SettingsEdit): ApplyOutcome {
        val conflicts = tree.conflicts(record.changes)
        if (conflicts.isEmpty()) tree = tree.apply(changes = record.changes, version = entry.offset)
        edits.add(entry = entry, record = record, conflicts = conflicts)
        return if (conflicts.isEmpty()) ApplyOutcome.Accepted else ApplyOutcome.Rejected(conflicts = conflicts)
    }

    public companion object {
        /** How long a claimed call and its outcome are kept, measured by the platform's clock. */
        public const val CALL_RETENTION_MILLIS: Long = 2L * 60 * 60 * 1_000
    }
}

private const val MAXIMUM_RECENT_IDS = 20_000
