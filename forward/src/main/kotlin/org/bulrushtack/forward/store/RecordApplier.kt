package org.bulrushtack.forward.store

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreRecordDecoder
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.quarantine.CrashReports

/** Decodes new records of the platform's store and applies their updates to [state]. */
internal class RecordApplier(
    state: ForwardState,
    private val decoder: StoreRecordDecoder,
    private val peers: PeerRecords,
    private val crashReports: CrashReports,
    private val clock: MonotonicClock,
    private val log: EventLog,
) {
    private val fleetUpdater = FleetUpdater(fleet = state.fleet, log = log)
    private val configurationUpdater = ConfigurationUpdater(state = state, clock = clock, log = log)

    /** Applies [record] of [topic]. */
    fun apply(topic: StoreTopic, record: StoreRecord, context: UpdateContext) = when (topic) {
        StoreTopic.DAEMONS -> peers.learnAddress(record)
        StoreTopic.CRASHES -> crashReports.apply(record)
        else -> applyUpdate(topic, record, context)
    }

    /** Applies what was postponed until [nowMillis]. */
    fun tick(nowMillis: Long) = fleetUpdater.tick(nowMillis)

    private fun applyUpdate(topic: StoreTopic, record: StoreRecord, context: UpdateContext) {
        val startedAtMillis = clock.nowMillis()
        when (val update = decoder.decode(topic, record)) {
            is StoreUpdate.Configuration -> configurationUpdater.apply(
                configuration = update.configuration,
                record = record,
                context = context.copy(decodeMillis = clock.nowMillis() - startedAtMillis),
            )
            is StoreUpdate.DataCentre -> fleetUpdater.setTakenOut(update, record, context)
            is StoreUpdate.ServerUpdated -> fleetUpdater.putServer(update.entry, context)
            is StoreUpdate.ServerRemoved -> fleetUpdater.dropServer(update.id, context)
            is StoreUpdate.Unreadable -> {
                update.id?.let { fleetUpdater.dropServer(it, context.copy(dropDelayMillis = 0)) }
                log.warn(
                    "A record can't be used.",
                    LogField("key", record.key),
                    LogField("offset", record.offset),
                    LogField("reason", update.reason),
                )
            }
            StoreUpdate.Irrelevant -> Unit
        }
    }
}
