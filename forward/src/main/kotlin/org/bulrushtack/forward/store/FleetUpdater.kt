package org.bulrushtack.forward.store

import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** Applies updates of backend servers to [fleet] and logs each change. */
internal class FleetUpdater(
    private val fleet: FleetRegion,
    private val log: EventLog,
) {
    private val entries = HashMap<String, BackendServerEntry>()
    private val returnsAtMillis = HashMap<String, Long>()

    fun putServer(entry: BackendServerEntry, context: UpdateContext) {
        val isTaken = fleet.put(
            entry = entry,
            nowMillis = context.nowMillis,
            readAtMillis = context.readAtMillis,
            isRestored = context.isRestored,
        )
        if (isTaken) {
            logPut(entry, context, previous = entries.put(entry.id, entry))
        } else {
            log.info("An entry of a backend server is older than what is known of it.", fields(entry, context))
        }
    }

    private fun logPut(entry: BackendServerEntry, context: UpdateContext, previous: BackendServerEntry?) {
        val turnedCold = entry.coldMillis > 0 && (previous == null || previous.coldMillis == 0L)
        val message = when {
            previous == null || previous.startedAtMillis != entry.startedAtMillis -> "A backend server was added."
            entry.leaving && !previous.leaving -> "A backend server is leaving."
            previous.leaving && !entry.leaving -> "A backend server that said that it leaves is listed as ready."
            previous.address != entry.address -> "A backend server has a new address."
            turnedCold -> "A backend server is cold."
            else -> null
        }
        if (message != null) log.info(message, fields(entry, context))
    }

    fun dropServer(id: String, context: UpdateContext) {
        val previous = entries.remove(id) ?: return
        fleet.markRemoved(id = id, usableUntilMillis = context.nowMillis + context.dropDelayMillis)
        log.info(
            "The entry of a backend server was dropped.",
            fields(previous, context) + LogField("usable_millis", context.dropDelayMillis),
        )
    }

    /** Takes a data centre out or brings it back; one that only an older copy lacks stays out for a while. */
    fun setTakenOut(update: StoreUpdate.DataCentre, record: StoreRecord, context: UpdateContext) {
        if (context.isRestored && !update.takenOut) {
            returnsAtMillis[update.name] = context.nowMillis + RESTORED_HOLD_MILLIS
        } else {
            returnsAtMillis.remove(update.name)
            applyTakenOut(update, record, context)
        }
    }

    /** Brings back the data centres whose records were not written again in time after the store came back. */
    fun tick(nowMillis: Long) {
        val due = returnsAtMillis.filterValues { it <= nowMillis }.keys.toList()
        due.forEach { name ->
            returnsAtMillis.remove(name)
            fleet.setTakenOut(dataCentre = name, out = false)
            log.info("A data centre was brought back.", LogField("data_centre", name))
        }
    }

    private fun applyTakenOut(update: StoreUpdate.DataCentre, record: StoreRecord, context: UpdateContext) {
        fleet.setTakenOut(dataCentre = update.name, out = update.takenOut)
        log.info(
            if (update.takenOut) "A data centre was taken out." else "A data centre was brought back.",
            LogField("data_centre", update.name),
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

/** Operators have written their records again by then, also if they take the store for unstable at first. */
private const val RESTORED_HOLD_MILLIS = 10_000L
