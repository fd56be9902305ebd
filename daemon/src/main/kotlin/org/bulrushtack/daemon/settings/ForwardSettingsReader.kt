package org.bulrushtack.daemon.settings

import arrow.core.Either
import org.apache.commons.configuration2.INIConfiguration
import org.bulrushtack.forward.ClientLimits
import org.bulrushtack.forward.DutySettings
import org.bulrushtack.forward.ForwardSettings
import org.bulrushtack.forward.VmResources
import org.bulrushtack.forward.budget.ProcessResources
import org.bulrushtack.forward.budget.ResourceLimits

/** Reads the settings of a daemon that forwards requests on the platform. */
class ForwardSettingsReader {
    /** Returns the settings in [ini], or all of its errors; [file] is the name that the errors show. */
    fun read(file: String, ini: INIConfiguration): Either<List<SettingsFileError>, ForwardSettings> {
        val validator = SettingsFileValidator(file = file, ini = ini, known = ForwardSettingsKey.entries)
        validator.checkNames()
        val settings = settings(validator)
        if (validator.errors.isEmpty()) checkSums(validator, settings)
        return if (validator.errors.isEmpty()) Either.Right(settings) else Either.Left(validator.errors)
    }

    private fun settings(validator: SettingsFileValidator): ForwardSettings = ForwardSettings(
        name = validator.name(ForwardSettingsKey.NAME),
        dataCentre = validator.name(ForwardSettingsKey.DATA_CENTRE),
        frontListen = validator.hostAndPort(ForwardSettingsKey.FRONT_LISTEN),
        readinessListen = validator.hostAndPort(ForwardSettingsKey.READINESS_LISTEN),
        directoryListen = validator.hostAndPort(ForwardSettingsKey.DIRECTORY_LISTEN),
        peerListen = validator.hostAndPort(ForwardSettingsKey.PEER_LISTEN),
        metricsListen = validator.hostAndPort(ForwardSettingsKey.METRICS_LISTEN),
        seeds = validator.hosts(ForwardSettingsKey.SEEDS),
        storeAddress = validator.hostAndPort(ForwardSettingsKey.STORE),
        heartbeatMillis = validator.number(ForwardSettingsKey.HEARTBEAT, HEARTBEAT_RANGE),
        graceMillis = validator.number(ForwardSettingsKey.GRACE, GRACE_RANGE) * MILLIS_PER_SECOND,
        retryRatio = validator.decimal(ForwardSettingsKey.RETRY_RATIO),
        retrySlack = validator.decimal(ForwardSettingsKey.RETRY_SLACK),
        directoryKeepMillis = validator.number(ForwardSettingsKey.DIRECTORY_KEEP, KEEP_RANGE) * MILLIS_PER_SECOND,
        reservationFreeMillis = validator.number(ForwardSettingsKey.RESERVATION_FREE, FREE_RANGE),
        bodyMemoryBytes = validator.number(ForwardSettingsKey.BODY_MEMORY, BODY_RANGE) * BYTES_PER_MEGABYTE,
        responseBytes = validator.number(ForwardSettingsKey.RESPONSE_LIMIT, BODY_RANGE) * BYTES_PER_MEGABYTE,
        logLevel = validator.choice(ForwardSettingsKey.LOG_LEVEL, LOG_LEVELS),
        vm = vm(validator),
        duties = duties(validator),
        clients = ClientLimits(
            heldBytes = validator.number(ForwardSettingsKey.CLIENT_MEMORY, CLIENT_MEMORY_RANGE) * BYTES_PER_MEGABYTE,
            connections = validator.number(ForwardSettingsKey.CLIENT_SOCKETS, DESCRIPTORS_RANGE),
            stallMillis = validator.millis(ForwardSettingsKey.CLIENT_STALL, MINIMUM_STALL_MILLIS),
            slowBytesPerSecond = validator.number(ForwardSettingsKey.CLIENT_SLOW, SLOW_RANGE),
        ),
    )

    /** Adds an error for each sum of limits that doesn't fit the VM. */
    private fun checkSums(validator: SettingsFileValidator, settings: ForwardSettings) = ResourceLimits(
        vm = settings.vm,
        clients = settings.clients,
        bodyBytes = settings.bodyMemoryBytes,
        process = ProcessResources.current(),
    ).errors().forEach { validator.addError(section = "clients", key = "", text = it) }

    private fun vm(validator: SettingsFileValidator): VmResources {
        val cores = validator.decimal(ForwardSettingsKey.VM_PROCESSOR_SHARE) *
            validator.decimal(ForwardSettingsKey.VM_PROCESSOR_SPEED)
        return VmResources(
            processorShare = (cores * THOUSANDTHS).toLong(),
            memoryBytes = validator.number(ForwardSettingsKey.VM_MEMORY, VM_MEMORY_RANGE) * BYTES_PER_MEGABYTE,
            descriptors = validator.number(ForwardSettingsKey.VM_DESCRIPTORS, DESCRIPTORS_RANGE),
            linkKilobits = (validator.decimal(ForwardSettingsKey.VM_LINK) * KILOBITS_PER_MEGABIT).toLong(),
        )
    }

    private fun duties(validator: SettingsFileValidator): DutySettings? {
        val names = validator.names(ForwardSettingsKey.DUTY_NAMES)
        return DutySettings(
            address = validator.hostAndPortOrNull(ForwardSettingsKey.DUTY_ADDRESS) ?: return null,
            names = names.toSet(),
            isFenced = validator.choice(ForwardSettingsKey.DUTY_FENCING, listOf("true", "false")).toBoolean(),
            leaseMillis = validator.number(ForwardSettingsKey.DUTY_LEASE, LEASE_RANGE),
            windowMillis = validator.millis(ForwardSettingsKey.DUTY_WINDOW, MINIMUM_WINDOW_MILLIS),
            lateMillis = validator.millis(ForwardSettingsKey.DUTY_LATE, MINIMUM_WINDOW_MILLIS),
            callsPerSecond = validator.decimal(ForwardSettingsKey.DUTY_CALLS),
        )
    }
}

private const val MINIMUM_STALL_MILLIS = 1_000L
private const val MAXIMUM_SLOW_BYTES = 1_048_576L
private val SLOW_RANGE = 0L..MAXIMUM_SLOW_BYTES
private const val THOUSANDTHS = 1_000
private const val KILOBITS_PER_MEGABIT = 1_000
private const val MINIMUM_WINDOW_MILLIS = 100L
private const val MINIMUM_LEASE_MILLIS = 100L
private const val MAXIMUM_LEASE_MILLIS = 600_000L
private const val MAXIMUM_VM_MEGABYTES = 16_777_216L
private const val MAXIMUM_DESCRIPTORS = 100_000_000L
private val LEASE_RANGE = MINIMUM_LEASE_MILLIS..MAXIMUM_LEASE_MILLIS
private val VM_MEMORY_RANGE = 0L..MAXIMUM_VM_MEGABYTES
private val CLIENT_MEMORY_RANGE = 0L..MAXIMUM_VM_MEGABYTES
private val DESCRIPTORS_RANGE = 0L..MAXIMUM_DESCRIPTORS

private const val MINIMUM_HEARTBEAT_MILLIS = 50L
private const val MAXIMUM_HEARTBEAT_MILLIS = 60_000L
private val HEARTBEAT_RANGE = MINIMUM_HEARTBEAT_MILLIS..MAXIMUM_HEARTBEAT_MILLIS

private const val MILLIS_PER_SECOND = 1_000L
private const val MAXIMUM_GRACE_SECONDS = 3_600L
private const val MAXIMUM_KEEP_SECONDS = 60L
private const val MINIMUM_FREE_MILLIS = 500L
private const val MAXIMUM_FREE_MILLIS = 60_000L
private const val MAXIMUM_BODY_MEGABYTES = 4_096L
private const val BYTES_PER_MEGABYTE = 1_048_576L
private val FREE_RANGE = MINIMUM_FREE_MILLIS..MAXIMUM_FREE_MILLIS
private val BODY_RANGE = 1L..MAXIMUM_BODY_MEGABYTES
private val GRACE_RANGE = 1L..MAXIMUM_GRACE_SECONDS
private val KEEP_RANGE = 1L..MAXIMUM_KEEP_SECONDS
