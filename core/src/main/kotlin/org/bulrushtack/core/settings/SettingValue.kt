package org.bulrushtack.core.settings

/**
 * The value of one setting at one branch.
 *
 * @property value the value, or null after it was removed
 * @property version the log offset of the last edit that set or removed it
 */
public data class SettingValue(
    val value: String?,
    val version: Long,
)
