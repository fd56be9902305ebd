package org.bulrushtack.core.settings

/**
 * What a branch holds for one setting.
 *
 * @property value the value, or null after it was removed
 * @property version the log offset of the edit that last touched it
 */
public data class SettingValue(
    val value: String?,
    val version: Long,
)
