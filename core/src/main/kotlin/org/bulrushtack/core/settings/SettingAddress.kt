package org.bulrushtack.core.settings

/** One setting of one branch. */
public data class SettingAddress(
    val path: SettingsPath,
    val key: String,
) {
    override fun toString(): String = "$path:$key"
}
