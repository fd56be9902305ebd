package org.bulrushtack.daemon.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.commons.configuration2.INIConfiguration

/** Reads the settings of an entry daemon and reports all errors of the file at once. */
class ProcessSettingsReader {
    /** Returns the settings in [ini], or all of its errors; [file] is the name that the errors show. */
    fun read(file: String, ini: INIConfiguration): Either<List<SettingsFileError>, ProcessSettings> {
        val validator = SettingsFileValidator(file = file, ini = ini, known = ProcessSettingsKey.entries)
        val settings = settings(validator)
        return if (validator.errors.isEmpty()) settings.right() else validator.errors.left()
    }

    private fun settings(validator: SettingsFileValidator): ProcessSettings {
        validator.checkNames()
        return ProcessSettings(
            name = validator.name(ProcessSettingsKey.NAME),
            dataCentre = validator.name(ProcessSettingsKey.DATA_CENTRE),
            httpListen = validator.hostAndPort(ProcessSettingsKey.HTTP_LISTEN),
            peerListen = validator.hostAndPort(ProcessSettingsKey.PEER_LISTEN),
            platformAddress = validator.hostAndPort(ProcessSettingsKey.PLATFORM).toString(),
            bootstrapKeyHash = validator.hash(ProcessSettingsKey.BOOTSTRAP_KEY_HASH),
            logLevel = validator.choice(ProcessSettingsKey.LOG_LEVEL, LOG_LEVELS),
            bodyBytes = validator.number(ProcessSettingsKey.BODY_BYTES, BODY_RANGE).toInt(),
            headerBytes = validator.number(ProcessSettingsKey.HEADER_BYTES, HEADER_RANGE).toInt(),
            requestMillis = validator.number(ProcessSettingsKey.REQUEST_SECONDS, REQUEST_RANGE) * MILLIS_PER_SECOND,
            drainMillis = validator.number(ProcessSettingsKey.DRAIN, DRAIN_RANGE) * MILLIS_PER_SECOND,
            networkThreads = validator.number(ProcessSettingsKey.NETWORK_THREADS, THREAD_RANGE).toInt(),
        )
    }
}

private const val MILLIS_PER_SECOND = 1_000L
internal val LOG_LEVELS = listOf("trace", "debug", "info", "warn", "error")
private const val MINIMUM_BYTES = 1_024L
private const val MAXIMUM_BODY_BYTES = 67_108_864L
private const val MAXIMUM_HEADER_BYTES = 1_048_576L
private const val MAXIMUM_REQUEST_SECONDS = 600L
private const val MAXIMUM_DRAIN_SECONDS = 3_600L
private const val MAXIMUM_THREADS = 64L
private val BODY_RANGE = MINIMUM_BYTES..MAXIMUM_BODY_BYTES
private val HEADER_RANGE = MINIMUM_BYTES..MAXIMUM_HEADER_BYTES
private val REQUEST_RANGE = 1L..MAXIMUM_REQUEST_SECONDS
private val DRAIN_RANGE = 0L..MAXIMUM_DRAIN_SECONDS
private val THREAD_RANGE = 1L..MAXIMUM_THREADS
