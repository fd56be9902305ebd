package org.bulrushtack.daemon.settings

/** One fault of a settings file. */
data class SettingsFault(
    val file: String,
    val section: String,
    val key: String,
    val text: String,
) {
    override fun toString(): String = "$file: [$section] $key: $text"
}
