package org.bulrushtack.daemon.settings

import arrow.core.Either
import org.apache.commons.configuration2.INIConfiguration
import org.bulrushtack.forward.ForwardSettings

/** Reads the settings of a daemon that forwards requests on the platform. */
class ForwardSettingsReader {
    /** The settings in [ini], or every fault; [file] is for messages. */
    fun read(file: String, ini: INIConfiguration): Either<List<SettingsFault>, ForwardSettings> {
        val check = SettingsCheck(file = file, ini = ini, known = ForwardSettingsKey.entries)
        check.names()
        val settings = settings(check)
        return if (check.faults.isEmpty()) Either.Right(settings) else Either.Left(check.faults)
    }

    private fun settings(check: SettingsCheck): ForwardSettings = ForwardSettings(
        name = check.name(ForwardSettingsKey.NAME),
        dataCentre = check.name(ForwardSettingsKey.DATA_CENTRE),
        frontListen = check.place(ForwardSettingsKey.FRONT_LISTEN),
        readinessListen = check.place(ForwardSettingsKey.READINESS_LISTEN),
        directoryListen = check.place(ForwardSettingsKey.DIRECTORY_LISTEN),
        peerListen = check.place(ForwardSettingsKey.PEER_LISTEN),
        metricsListen = check.place(ForwardSettingsKey.METRICS_LISTEN),
        seeds = check.hosts(ForwardSettingsKey.SEEDS),
        storeAddress = check.place(ForwardSettingsKey.STORE),
        graceMillis = check.number(ForwardSettingsKey.GRACE, GRACE_RANGE) * MILLIS_PER_SECOND,
        retryRatio = check.decimal(ForwardSettingsKey.RETRY_RATIO),
        retrySlack = check.decimal(ForwardSettingsKey.RETRY_SLACK),
        directoryKeepMillis = check.number(ForwardSettingsKey.DIRECTORY_KEEP, KEEP_RANGE) * MILLIS_PER_SECOND,
        reservationFreeMillis = check.number(ForwardSettingsKey.RESERVATION_FREE, FREE_RANGE),
        bodyMemoryBytes = check.number(ForwardSettingsKey.BODY_MEMORY, BODY_RANGE) * BYTES_PER_MEGABYTE,
        logLevel = check.choice(ForwardSettingsKey.LOG_LEVEL, LOG_LEVELS),
    )
}

private const val MILLIS_PER_SECOND = 1_000L
private const val LONGEST_GRACE_SECONDS = 3_600L
private const val LONGEST_KEEP_SECONDS = 60L
private const val SHORTEST_FREE_MILLIS = 500L
private const val LONGEST_FREE_MILLIS = 60_000L
private const val MOST_BODY_MEGABYTES = 4_096L
private const val BYTES_PER_MEGABYTE = 1_048_576L
private val FREE_RANGE = SHORTEST_FREE_MILLIS..LONGEST_FREE_MILLIS
private val BODY_RANGE = 1L..MOST_BODY_MEGABYTES
private val GRACE_RANGE = 1L..LONGEST_GRACE_SECONDS
private val KEEP_RANGE = 1L..LONGEST_KEEP_SECONDS
