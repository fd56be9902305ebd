package org.bulrushtack.core.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * The path of a branch in the settings tree, such as `workspaces/dock`; the root has no segments.
 */
public data class SettingsPath(
    val segments: List<String> = emptyList(),
) {
    /** The branch that this one inherits from, or null for the root. */
    public val parent: SettingsPath?
        get() = if (segments.isEmpty()) null else SettingsPath(segments = segments.dropLast(1))

    /** The name of the branch, or an empty string for the root. */
    public val name: String
        get() = segments.lastOrNull().orEmpty()

    /** The branch [name] below this one. */
    public fun child(name: String): SettingsPath = SettingsPath(segments = segments + name)

    /** The branch at the relative path [names], such as `dock/guides`, below this one. */
    public fun descendant(names: String): SettingsPath = SettingsPath(segments = segments + names.split('/'))

    override fun toString(): String = "/" + segments.joinToString("/")

    public companion object {
        /** The root of the tree. */
        public val ROOT: SettingsPath = SettingsPath()

        /** Parses a path such as `/workspaces/dock`; the left side says what is wrong with it. */
        public fun parse(text: String): Either<String, SettingsPath> {
            val segments = text.trim('/').split('/').filter { it.isNotEmpty() }
            val invalid = segments.firstOrNull { !SEGMENT.matches(it) }
            if (invalid != null) {
                return "'$invalid' is not a name: use lower-case letters, digits and '-'".left()
            }
            return SettingsPath(segments = segments).right()
        }
    }
}

private val SEGMENT = Regex("[a-z0-9][a-z0-9-]{0,62}")
