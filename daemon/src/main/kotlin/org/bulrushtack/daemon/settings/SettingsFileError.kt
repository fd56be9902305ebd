package org.bulrushtack.daemon.settings

/** A validation error of a settings file. */
data class SettingsFileError(
    val file: String,
    val section: String,
    val key: String,
    val text: String,
) {
    override fun toString(): String = "$file: [$section] $key: $text"
}
