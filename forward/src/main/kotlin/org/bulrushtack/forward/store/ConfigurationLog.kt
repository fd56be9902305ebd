package org.bulrushtack.forward.store

import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** Logs each configuration that is applied, as a warning if it comes late, and the parts of it that can't be used. */
internal class ConfigurationLog(
    private val log: EventLog,
) {
    /** Logs that [configuration] was applied from [record] by [change]. */
    fun recordApplied(change: ConfigurationChange, configuration: RoutingConfiguration, record: StoreRecord) {
        val fields = listOf(
            LogField("version", change.version),
            LogField("previous", change.previous),
            LogField("offset", record.offset),
            LogField("source", change.source),
            LogField("age_millis", change.ageMillis),
            LogField("unread_millis", change.unreadMillis),
            LogField("skipped", change.skipped),
            LogField("decode_millis", change.decodeMillis),
            LogField("apply_millis", change.applyMillis),
            LogField("routes", configuration.routes.size),
        )
        if (change.isLate) log.warn(APPLIED, fields) else log.info(APPLIED, fields)
    }

    /** Logs that [configuration] from [record] isn't applied, since the later version [inForce] is in force. */
    fun recordOlder(configuration: RoutingConfiguration, inForce: Long, record: StoreRecord, source: String) = log.warn(
        "A configuration is older than the one in force and is not applied.",
        LogField("version", configuration.version),
        LogField("in_force", inForce),
        LogField("offset", record.offset),
        LogField("source", source),
    )

    /** Logs the [problems] of the configuration in [record]. */
    fun recordProblems(problems: List<String>, record: StoreRecord) = problems.forEach { problem ->
        log.warn(
            "A part of the configuration can't be used.",
            LogField("reason", problem),
            LogField("key", record.key),
            LogField("offset", record.offset),
        )
    }
}

private const val APPLIED = "The configuration was applied."
