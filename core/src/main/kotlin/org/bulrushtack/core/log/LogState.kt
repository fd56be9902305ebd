package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingValue
import org.bulrushtack.core.settings.SettingsTree

/**
 * The state that all daemons share: the result of applying the log through [appliedOffset].
 *
 * @property recentIds identifiers of the last records, oldest first, by which duplicate records are detected
 * @property edits the most recent edits, oldest first, accepted and rejected
 */
public data class LogState(
    val appliedOffset: Long = 0,
    val settings: List<SettingRow> = emptyList(),
    val owners: List<OwnerRow> = emptyList(),
    val claims: List<ClaimRow> = emptyList(),
    val recentIds: List<String> = emptyList(),
    val edits: List<EditSummary> = emptyList(),
) {
    /** One setting of the tree. */
    public data class SettingRow(
        val address: SettingAddress,
        val value: SettingValue,
    )

    /** The recorded owner of a backend server. */
    public data class OwnerRow(
        val server: String,
        val entry: OwnerEntry,
    )

    /** One claimed call. */
    public data class ClaimRow(
        val call: CallKey,
        val entry: ClaimEntry,
    )

    /** The settings as a tree. */
    public fun tree(): SettingsTree = SettingsTree(values = settings.associate { it.address to it.value })
}
