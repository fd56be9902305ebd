package org.bulrushtack.daemon.settings

/** A key that a settings file may hold. */
interface SettingsKey {
    /** The section that it stands in. */
    val section: String

    /** Its name there. */
    val key: String

    /** The value where the file has none; null for a key that must be there. */
    val default: String?

    /** The unit of a number, or an empty string. */
    val unit: String

    /** What it means. */
    val description: String
}
