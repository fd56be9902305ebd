package org.bulrushtack.forward.store

import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** Brings versions of the configuration into force and logs each change. */
internal class ConfigurationUpdater(
    private val state: ForwardState,
    private val log: EventLog,
) {
    /** Brings [configuration] into force unless a later version is, as after the store came back from an older copy. */
    fun apply(configuration: RoutingConfiguration, record: StoreRecord, context: UpdateContext) {
        val previous = state.routing?.configuration
        if (previous != null && configuration.version < previous.version) {
            log.warn(
                "A configuration is older than the one in force and is not applied.",
                LogField("version", configuration.version),
                LogField("in_force", previous.version),
                LogField("offset", record.offset),
                LogField("source", context.source),
            )
        } else {
            logProblems(configuration.problems - previous?.problems.orEmpty().toSet(), record)
            state.routing = RoutingTable(configuration)
            log.info(
                "The configuration was applied.",
                LogField("version", configuration.version),
                LogField("previous", previous?.version),
                LogField("offset", record.offset),
                LogField("source", context.source),
                LogField("routes", configuration.routes.size),
            )
        }
    }

    private fun logProblems(problems: List<String>, record: StoreRecord) = problems.forEach { problem ->
        log.warn(
            "A part of the configuration can't be used.",
            LogField("reason", problem),
            LogField("key", record.key),
            LogField("offset", record.offset),
        )
    }
}
