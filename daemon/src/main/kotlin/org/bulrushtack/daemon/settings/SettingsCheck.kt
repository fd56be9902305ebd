package org.bulrushtack.daemon.settings

import org.apache.commons.configuration2.INIConfiguration
import org.bulrushtack.core.settings.NearestName

/** Reads the values of a settings file and collects its faults; [known] are all keys that it may hold. */
internal class SettingsCheck(
    private val file: String,
    private val ini: INIConfiguration,
    private val known: List<SettingsKey>,
) {
    private val sections = known.map { it.section }.toSet()

    /** The faults so far. */
    val faults = mutableListOf<SettingsFault>()

    /** Notes each section and key that is unknown. */
    fun names() {
        ini.sections.forEach { section ->
            when (section) {
                null -> ini.getSection(null).keys.forEach { add("", it, "stands before the first section") }
                in sections -> keys(section)
                else -> add(section, "", "unknown section; the nearest is '${nearest(section)}'")
            }
        }
    }

    private fun keys(section: String) {
        val names = known.filter { it.section == section }.map { it.key }
        ini.getSection(section).keys.asSequence().filter { it !in names }.forEach { key ->
            add(section, key, "unknown key; the nearest is '${NearestName.find(key, names)}'")
        }
    }

    private fun nearest(section: String): String = NearestName.find(section, sections)

    /** The value of [key]; [fault] says what is wrong with it, or null. */
    fun checked(key: SettingsKey, fault: (String) -> String?): String {
        val written = ini.getSection(key.section).getString(key.key)
        val value = if (written.isNullOrBlank()) key.default ?: written else written
        val text = if (value == null) "is missing: ${key.description}" else fault(value)
        if (text != null) add(key.section, key.key, text)
        return value.orEmpty()
    }

    /** Notes a fault. */
    fun add(section: String, key: String, text: String) {
        faults.add(SettingsFault(file = file, section = section, key = key, text = text))
    }
}
