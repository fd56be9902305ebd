package org.bulrushtack.core.settings

/**
 * The value that is in force for a setting.
 *
 * @property source the branch that it comes from, or null for the default
 */
public data class ResolvedSetting(
    val key: String,
    val value: String,
    val source: SettingsPath?,
)
