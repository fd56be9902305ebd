package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingChange

/**
 * An applied edit and its result.
 *
 * @property conflicts the settings that another edit had changed first; empty if the edit was accepted
 */
public data class EditSummary(
    val id: String,
    val offset: Long,
    val appendedAtMillis: Long,
    val operator: String,
    val changes: List<SettingChange>,
    val conflicts: List<SettingAddress>,
)
