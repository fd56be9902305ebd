package org.bulrushtack.core.settings

/**
 * The effective value of a setting.
 *
 * @property source the branch that sets the value, or null for the default
 */
public data class ResolvedSetting(
    val key: String,
    val value: String,
    val source: SettingsPath?,
)
