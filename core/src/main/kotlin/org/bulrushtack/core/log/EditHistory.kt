package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingsSchema

/** The most recent edits of the settings tree, accepted and rejected. Values of secret settings are not kept. */
public class EditHistory {
    private val edits = ArrayDeque<EditSummary>()

    /** The edits, oldest first. */
    public fun all(): List<EditSummary> = edits.toList()

    /** The edit with this identifier, or null. */
    public fun find(id: String): EditSummary? = edits.firstOrNull { it.id == id }

    internal fun load(rows: List<EditSummary>) {
        edits.clear()
        edits.addAll(rows)
    }

    internal fun add(entry: LogEntry, record: SettingsEdit, conflicts: List<SettingAddress>) {
        val redacted = record.changes.map { change ->
            val secret = SettingsSchema.specification(change.address.key)?.secret ?: false
            if (secret && change.value != null) change.copy(value = "(hidden)") else change
        }
        edits.addLast(
            EditSummary(
                id = record.id,
                offset = entry.offset,
                appendedAtMillis = entry.appendedAtMillis,
                operator = record.operator,
                changes = redacted,
                conflicts = conflicts,
            ),
        )
        if (edits.size > MAXIMUM_EDITS) edits.removeFirst()
    }
}

private const val MAXIMUM_EDITS = 400
