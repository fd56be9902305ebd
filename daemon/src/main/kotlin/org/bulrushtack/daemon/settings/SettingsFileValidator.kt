package org.bulrushtack.daemon.settings

import org.apache.commons.configuration2.INIConfiguration
import org.bulrushtack.core.settings.NearestName

/** Reads the values of a settings file and collects its errors; [known] are all keys that the file may contain. */
internal class SettingsFileValidator(
    private val file: String,
    private val ini: INIConfiguration,
    private val known: List<SettingsKey>,
) {
    private val sections = known.map { it.section }.toSet()

    /** The errors found so far. */
    val errors = mutableListOf<SettingsFileError>()

    /** Adds an error for each unknown section and key. */
    fun checkNames() {
        ini.sections.forEach { section ->
            when (section) {
                null -> ini.getSection(null).keys.forEach { addError("", it, "stands before the first section") }
                in sections -> checkKeys(section)
                else -> addError(section, "", "unknown section; the nearest is '${nearestSection(section)}'")
            }
        }
    }

    private fun checkKeys(section: String) {
        val names = known.filter { it.section == section }.map { it.key }
        ini.getSection(section).keys.asSequence().filter { it !in names }.forEach { key ->
            addError(section, key, "unknown key; the nearest is '${NearestName.find(key, names)}'")
        }
    }

    private fun nearestSection(section: String): String = NearestName.find(section, sections)

    /** The value of [key] or its default; [validate] returns what is wrong with the value, or null. */
    fun validated(key: SettingsKey, validate: (String) -> String?): String {
        val written = written(key)
        val value = if (written.isNullOrBlank()) key.default ?: written else written
        val error = if (value == null) "is missing: ${key.description}" else validate(value)
        if (error != null) addError(key.section, key.key, error)
        return value.orEmpty()
    }

    /** The first value of [key] as it is written: variables in it are not resolved, since that may fail or not end. */
    private fun written(key: SettingsKey): String? {
        val value = ini.getSection(key.section).getProperty(key.key)
        return (if (value is Collection<*>) value.firstOrNull() else value)?.toString()
    }

    /** Adds an error; [section] or [key] is empty where the error concerns none. */
    fun addError(section: String, key: String, text: String) {
        errors.add(SettingsFileError(file = file, section = section, key = key, text = text))
    }
}
