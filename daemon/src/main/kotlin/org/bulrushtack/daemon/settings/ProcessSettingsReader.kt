package org.bulrushtack.daemon.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.commons.configuration2.INIConfiguration

/** Reads a daemon's settings file and finds all of its faults at once. */
class ProcessSettingsReader {
    /** The settings in [ini], or every fault; [file] is for messages. */
    fun read(file: String, ini: INIConfiguration): Either<List<SettingsFault>, ProcessSettings> {
        val check = SettingsCheck(file = file, ini = ini, known = ProcessSettingsKey.entries)
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
}

private const val MILLIS_PER_SECOND = 1_000L
internal val LOG_LEVELS = listOf("trace", "debug", "info", "warn", "error")
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
