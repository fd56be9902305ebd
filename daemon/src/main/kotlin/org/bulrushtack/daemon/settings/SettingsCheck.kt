package org.bulrushtack.daemon.settings

import org.apache.commons.configuration2.INIConfiguration
import org.bulrushtack.core.settings.NearestName
import org.bulrushtack.http.SocketPlace

/** Reads the values of a settings file and collects its faults; [known] are all keys that it may hold. */
internal class SettingsCheck(
    private val file: String,
    private val ini: INIConfiguration,
    private val known: List<SettingsKey>,
) {
    private val sections = known.map { it.section }.toSet()

    val faults = mutableListOf<SettingsFault>()

    fun names() {
        ini.sections.forEach { section ->
            when (section) {
                null -> ini.getSection(null).keys.forEach { add("", it, "stands before the first section") }
                in sections -> keys(section)
                else -> add(section, "", "unknown section; the nearest is '${nearest(section)}'")
            }
        }
    }

    fun name(key: SettingsKey): String = checked(key) {
        if (NAME_FORM.matches(it)) null else "'$it' is not a name of lower-case letters, digits and '-'"
    }

    fun choice(key: SettingsKey, choices: List<String>): String = checked(key) {
        if (it in choices) null else "'$it' is none of ${choices.joinToString()}"
    }

    fun hash(key: SettingsKey): String = checked(key) {
        if (it.isEmpty() || HASH_FORM.matches(it)) null else "is not a SHA-256 hash in 64 hex digits"
    }

    fun decimal(key: SettingsKey): Double = checked(key) { value ->
        if ((value.toDoubleOrNull() ?: -1.0) >= 0) null else "'$value' is not a number from 0"
    }.toDoubleOrNull() ?: 0.0

    fun hosts(key: SettingsKey): List<String> = checked(key) { value ->
        if (split(value).all { HOST_FORM.matches(it) }) null else "'$value' is no list of IP numbers"
    }.let { split(it) }

    fun number(key: SettingsKey, range: LongRange): Long = checked(key) { value ->
        val number = value.toLongOrNull()
        val wrong = number == null || number !in range
        if (wrong) "'$value' is not a whole number from ${range.first} to ${range.last}" else null
    }.toLongOrNull() ?: range.first

    fun place(key: SettingsKey): SocketPlace {
        val text = checked(key) { if (PLACE_FORM.matches(it)) null else "'$it' is not an IP number and a port" }
        val port = text.substringAfterLast(':').toIntOrNull() ?: 0
        if (port > HIGHEST_PORT) add(key.section, key.key, "there is no port $port")
        return SocketPlace(host = text.substringBeforeLast(':'), port = port)
    }

    /** Commas part the entries of a list; a port behind an IP number is passed over. */
    private fun split(value: String): List<String> =
        value.split(',').map { it.trim().substringBefore(':') }.filter { it.isNotEmpty() }

    private fun keys(section: String) {
        val names = known.filter { it.section == section }.map { it.key }
        ini.getSection(section).keys.asSequence().filter { it !in names }.forEach { key ->
            add(section, key, "unknown key; the nearest is '${NearestName.find(key, names)}'")
        }
    }

    private fun nearest(section: String): String = NearestName.find(section, sections)

    private fun checked(key: SettingsKey, fault: (String) -> String?): String {
        val value = ini.getSection(key.section).getString(key.key) ?: key.default
        val text = if (value == null) "is missing: ${key.description}" else fault(value)
        if (text != null) add(key.section, key.key, text)
        return value.orEmpty()
    }

    private fun add(section: String, key: String, text: String) {
        faults.add(SettingsFault(file = file, section = section, key = key, text = text))
    }
}

private const val HIGHEST_PORT = 65_535
private val NAME_FORM = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val HASH_FORM = Regex("[0-9a-f]{64}")
private val PLACE_FORM = Regex("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")
private val HOST_FORM = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
