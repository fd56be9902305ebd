package org.bulrushtack.core.settings

/** The values that a setting may have. */
public sealed interface SettingType {
    /** Returns what is wrong with [value], or null when it is valid. */
    public fun validationError(value: String): String?

    /** A whole number from [minimum] to [maximum]. */
    public data class WholeNumber(
        val minimum: Long,
        val maximum: Long,
    ) : SettingType {
        override fun validationError(value: String): String? {
            val number = value.toLongOrNull() ?: return "'$value' is not a whole number"
            return if (number in minimum..maximum) null else "$number is not between $minimum and $maximum"
        }
    }

    /** One of [values]. */
    public data class Choice(
        val values: List<String>,
    ) : SettingType {
        override fun validationError(value: String): String? =
            if (value in values) null else "'$value' is none of ${values.joinToString()}"
    }

    /** A list of names, separated by commas. */
    public data object Names : SettingType {
        override fun validationError(value: String): String? {
            val invalid = splitList(value).firstOrNull { !NAME.matches(it) }
            return invalid?.let { "'$it' is not a name" }
        }
    }

    /** A list of SHA-256 hashes in hexadecimal digits, separated by commas. */
    public data object KeyHashes : SettingType {
        override fun validationError(value: String): String? =
            if (splitList(value).all { HASH.matches(it) }) null else "not a list of SHA-256 hashes in 64 hex digits"
    }

    public companion object {
        /** Splits a comma-separated value into its trimmed items; empty items are dropped. */
        public fun splitList(value: String): List<String> =
            value.split(',').map { it.trim() }.filter { it.isNotEmpty() }
    }
}

private val NAME = Regex("[a-z0-9][a-z0-9.-]{0,62}")
private val HASH = Regex("[0-9a-f]{64}")
