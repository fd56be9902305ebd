package org.bulrushtack.daemon.settings

/** A key that a settings file may contain. */
interface SettingsKey {
    /** The section that contains the key. */
    val section: String

    /** The name of the key in its section. */
    val key: String

    /** The value if the file has none; null for a required key. */
    val default: String?

    /** The unit of a number, or an empty string. */
    val unit: String

    /** What the key sets, for error messages. */
    val description: String
}
