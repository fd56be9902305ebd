package org.bulrushtack.daemon.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import org.bulrushtack.core.settings.NearestName
import java.io.IOException
import java.io.Reader
import java.nio.file.Files
import java.nio.file.Path

/** Reads a daemon's settings file and finds all of its faults at once. */
class ProcessSettingsReader {
    /** The settings in [path], or every fault of the file. */
    fun read(path: Path): Either<List<SettingsFault>, ProcessSettings> = try {
        Files.newBufferedReader(path).use { read(file = path.toString(), reader = it) }
    } catch (exception: IOException) {
        listOf(SettingsFault(path.toString(), "", "", "can't be read: ${exception.message}")).left()
    }

    /** The settings that [reader] gives, or every fault; [file] is for messages. */
    fun read(file: String, reader: Reader): Either<List<SettingsFault>, ProcessSettings> {
        val ini = INIConfiguration()
        try {
            ini.read(reader)
        } catch (exception: ConfigurationException) {
            return listOf(SettingsFault(file, "", "", "is not INI: ${exception.message}")).left()
        }
        val check = SettingsCheck(file = file, ini = ini)
        val settings = settings(check)
        return if (check.faults.isEmpty()) settings.right() else check.faults.left()
    }

    private fun settings(check: SettingsCheck): ProcessSettings {
        check.names()
        return ProcessSettings(
            name = check.name(ProcessSettingsKey.NAME),
            dataCentre = check.name(ProcessSettingsKey.DATA_CENTRE),
            httpListen = check.place(ProcessSettingsKey.HTTP_LISTEN),
            peerListen = check.place(ProcessSettingsKey.PEER_LISTEN),
            platformAddress = check.place(ProcessSettingsKey.PLATFORM).toString(),
            bootstrapKeyHash = check.hash(ProcessSettingsKey.BOOTSTRAP_KEY_HASH),
            logLevel = check.choice(ProcessSettingsKey.LOG_LEVEL, LOG_LEVELS),
            bodyBytes = check.number(ProcessSettingsKey.BODY_BYTES, BODY_RANGE).toInt(),
            headerBytes = check.number(ProcessSettingsKey.HEADER_BYTES, HEADER_RANGE).toInt(),
            requestMillis = check.number(ProcessSettingsKey.REQUEST_SECONDS, REQUEST_RANGE) * MILLIS_PER_SECOND,
            drainMillis = check.number(ProcessSettingsKey.DRAIN, DRAIN_RANGE) * MILLIS_PER_SECOND,
            networkThreads = check.number(ProcessSettingsKey.NETWORK_THREADS, THREAD_RANGE).toInt(),
        )
    }

    private class SettingsCheck(
        private val file: String,
        private val ini: INIConfiguration,
    ) {
        val faults = mutableListOf<SettingsFault>()

        fun names() {
            ini.sections.forEach { section ->
                when (section) {
                    null -> ini.getSection(null).keys.forEach { add("", it, "stands before the first section") }
                    in ProcessSettingsKey.sections -> keys(section)
                    else -> add(section, "", "unknown section; the nearest is '${nearest(section)}'")
                }
            }
        }

        fun name(key: ProcessSettingsKey): String = checked(key) {
            if (NAME_FORM.matches(it)) null else "'$it' is not a name of lower-case letters, digits and '-'"
        }

        fun choice(key: ProcessSettingsKey, choices: List<String>): String = checked(key) {
            if (it in choices) null else "'$it' is none of ${choices.joinToString()}"
        }

        fun hash(key: ProcessSettingsKey): String = checked(key) {
            if (it.isEmpty() || HASH_FORM.matches(it)) null else "is not a SHA-256 hash in 64 hex digits"
        }

        fun number(key: ProcessSettingsKey, range: LongRange): Long = checked(key) { value ->
            val number = value.toLongOrNull()
            val wrong = number == null || number !in range
            if (wrong) "'$value' is not a whole number from ${range.first} to ${range.last}" else null
        }.toLongOrNull() ?: range.first

        fun place(key: ProcessSettingsKey): SocketPlace {
            val text = checked(key) { if (PLACE_FORM.matches(it)) null else "'$it' is not an IP number and a port" }
            val port = text.substringAfterLast(':').toIntOrNull() ?: 0
            if (port > HIGHEST_PORT) add(key.section, key.key, "there is no port $port")
            return SocketPlace(host = text.substringBeforeLast(':'), port = port)
        }

        private fun keys(section: String) {
            val known = ProcessSettingsKey.keysOf(section)
            ini.getSection(section).keys.asSequence().filter { it !in known }.forEach { key ->
                add(section, key, "unknown key; the nearest is '${NearestName.find(key, known)}'")
            }
        }

        private fun nearest(section: String): String = NearestName.find(section, ProcessSettingsKey.sections)

        private fun checked(key: ProcessSettingsKey, fault: (String) -> String?): String {
            val value = ini.getSection(key.section).getString(key.key) ?: key.default
            val text = if (value == null) "is missing: ${key.description}" else fault(value)
            if (text != null) add(key.section, key.key, text)
            return value.orEmpty()
        }

        private fun add(section: String, key: String, text: String) {
            faults.add(SettingsFault(file = file, section = section, key = key, text = text))
        }
    }
}

private const val MILLIS_PER_SECOND = 1_000L
private const val HIGHEST_PORT = 65_535
private val LOG_LEVELS = listOf("trace", "debug", "info", "warn", "error")
private val NAME_FORM = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val HASH_FORM = Regex("[0-9a-f]{64}")
private val PLACE_FORM = Regex("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")
private const val SMALLEST_BYTES = 1_024L
private const val LARGEST_BODY_BYTES = 67_108_864L
private const val LARGEST_HEADER_BYTES = 1_048_576L
private const val LONGEST_REQUEST_SECONDS = 600L
private const val LONGEST_DRAIN_SECONDS = 3_600L
private const val MOST_THREADS = 64L
private val BODY_RANGE = SMALLEST_BYTES..LARGEST_BODY_BYTES
private val HEADER_RANGE = SMALLEST_BYTES..LARGEST_HEADER_BYTES
private val REQUEST_RANGE = 1L..LONGEST_REQUEST_SECONDS
private val DRAIN_RANGE = 0L..LONGEST_DRAIN_SECONDS
private val THREAD_RANGE = 1L..MOST_THREADS
