package org.bulrushtack.forward.store

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.forward.log.EventLog

/** Brings versions of the configuration into force. */
internal class ConfigurationUpdater(
    private val state: ForwardState,
    private val clock: MonotonicClock,
    log: EventLog,
) {
    private val configurationLog = ConfigurationLog(log)

    /** Brings [configuration] into force unless a later version is, as after the store came back from an older copy. */
    fun apply(configuration: RoutingConfiguration, record: StoreRecord, context: UpdateContext) {
        val previous = state.routing?.configuration
        if (previous != null && configuration.version < previous.version) {
            configurationLog.recordOlder(configuration, inForce = previous.version, record, context.source)
        } else {
            val startedAtMillis = clock.nowMillis()
            configurationLog.recordProblems(configuration.problems - previous?.problems.orEmpty().toSet(), record)
            state.routing = RoutingTable(configuration)
            val nowMillis = clock.nowMillis()
            val change = ConfigurationChange(
                version = configuration.version,
                previous = previous?.version,
                source = context.source,
                appliedAtMillis = nowMillis,
                ageMillis = nowMillis - context.readAtMillis,
                unreadMillis = context.unreadMillis,
                decodeMillis = context.decodeMillis,
                applyMillis = nowMillis - startedAtMillis,
            )
            state.configuration.recordApplied(change)
            configurationLog.recordApplied(change, configuration, record)
        }
    }
}
