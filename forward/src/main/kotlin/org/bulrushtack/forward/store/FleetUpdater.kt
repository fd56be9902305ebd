package org.bulrushtack.forward.store

import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** Writes facts about backend servers into [fleet], with a log line for each change of belief. */
internal class FleetUpdater(
    private val fleet: FleetRegion,
    private val log: EventLog,
) {
    private val listed = HashMap<String, BackendServerEntry>()

    fun list(entry: BackendServerEntry, context: UpdateContext) {
        val previous = listed.put(entry.id, entry)
        fleet.put(entry = entry, nowMillis = context.nowMillis)
        val turnedCold = entry.coldMillis > 0 && (previous == null || previous.coldMillis == 0L)
        val sentence = when {
            previous == null || previous.bornAtMillis != entry.bornAtMillis -> "A backend server is listed."
            previous.leaving != entry.leaving -> "A backend server is leaving."
            previous.address != entry.address -> "A backend server has another address."
            turnedCold -> "A backend server is cold."
            else -> null
        }
        if (sentence != null) log.info(sentence, fields(entry, context))
    }

    fun drop(id: String, context: UpdateContext) {
        val previous = listed.remove(id) ?: return
        fleet.drop(id = id, goneAtMillis = context.nowMillis + context.lapseMillis)
        log.info(
            "A backend server's entry is gone.",
            fields(previous, context) + LogField("usable_millis", context.lapseMillis),
        )
    }

    fun setTakenOut(fact: StoreUpdate.DataCentre, record: StoreRecord, context: UpdateContext) {
        fleet.setTakenOut(dataCentre = fact.name, out = fact.takenOut)
        log.info(
            if (fact.takenOut) "A data centre is taken out." else "A data centre is back.",
            LogField("data_centre", fact.name),
            LogField("offset", record.offset),
            LogField("source", context.source),
        )
    }

    private fun fields(entry: BackendServerEntry, context: UpdateContext) = listOf(
        LogField("server", entry.id),
        LogField("address", entry.address),
        LogField("service", entry.service),
        LogField("data_centre", entry.dataCentre),
        LogField("leaving", entry.leaving),
        LogField("cold_millis", entry.coldMillis),
        LogField("source", context.source),
    )
}
