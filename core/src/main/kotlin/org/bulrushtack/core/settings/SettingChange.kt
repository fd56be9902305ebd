package org.bulrushtack.core.settings

/**
 * One change of an edit.
 *
 * @property value the new value, or null to remove it
 * @property expectedVersion the version that the operator read; 0 for a setting that was never set
 */
public data class SettingChange(
    val address: SettingAddress,
    val value: String?,
    val expectedVersion: Long,
)
