package org.bulrushtack.command

import org.apache.commons.configuration2.INIConfiguration
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import java.nio.file.Files
import java.nio.file.Path

/** A settings tree in an INI file: each section is a path, each key a setting. */
internal class TreeFile(
    private val path: Path,
) {
    private val ini = INIConfiguration().also { ini -> Files.newBufferedReader(path).use { ini.read(it) } }

    /** The values of the file as changes. */
    fun changes(): List<TreeEditCommand.Change> = ini.sections.filterNotNull().flatMap { section ->
        val values = ini.getSection(section)
        values.keys.asSequence().map { key ->
            TreeEditCommand.Change(path = section, key = key, value = values.getString(key))
        }
    }

    /** All validation errors of the file, one line each. */
    fun validationErrors(): List<String> = changes().mapNotNull { change ->
        val error = SettingsPath.parse(change.path).fold(
            ifLeft = { it },
            ifRight = { SettingsSchema.validationError(path = it, key = change.key, value = change.value) },
        )
        error?.let { "$path: [${change.path}] ${change.key}: $it" }
    }
}
