package org.bulrushtack.forward.store

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreRecordDecoder
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.core.store.TopicReplica
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** Takes records over from the platform's store and from peers, and keeps [state] up to date with what they mean. */
internal class StoreReplica(
    private val state: ForwardState,
    private val decoder: StoreRecordDecoder,
    private val peers: PeerRecords,
    private val clock: MonotonicClock,
    private val log: EventLog,
) {
    private val topics = StoreTopic.entries.associateWith { Topic() }
    private val fleet = FleetUpdater(fleet = state.fleet, log = log)

    /** Takes [batch] over, which the store gave [ageMillis] ago to [source]. */
    fun merge(topic: StoreTopic, batch: RecordBatch, ageMillis: Long, source: String) {
        val nowMillis = clock.nowMillis()
        val known = topics.getValue(topic)
        val lapseMillis = if (ageMillis(topic) > TROUBLE_MILLIS) LAPSE_MILLIS else 0
        known.confirmedAtMillis = maxOf(known.confirmedAtMillis ?: Long.MIN_VALUE, nowMillis - ageMillis)
        if (batch.endOffset >= known.knowledge.endOffset) {
            known.knowledge.merge(batch).forEach { record ->
                val context = UpdateContext(nowMillis = nowMillis, lapseMillis = lapseMillis, source = source)
                if (topic == StoreTopic.DAEMONS) peers.take(record) else apply(topic, record, context)
            }
        }
    }

    /** The time since the store was last asked for [topic], by this daemon or another. */
    fun ageMillis(topic: StoreTopic): Long =
        topics.getValue(topic).confirmedAtMillis?.let { clock.nowMillis() - it } ?: Long.MAX_VALUE

    /** The offset that follows the last known record of [topic], or -1. */
    fun endOffset(topic: StoreTopic): Long = topics.getValue(topic).knowledge.endOffset

    /** What a peer that knows [topic] up to [offset] has missed. */
    fun since(topic: StoreTopic, offset: Long): RecordBatch? = topics.getValue(topic).knowledge.since(offset)

    private fun apply(topic: StoreTopic, record: StoreRecord, context: UpdateContext) {
        when (val fact = decoder.decode(topic, record)) {
            is StoreUpdate.Configuration -> configure(fact, record, context)
            is StoreUpdate.DataCentre -> fleet.setTakenOut(fact, record, context)
            is StoreUpdate.ServerListed -> fleet.list(fact.entry, context)
            is StoreUpdate.ServerDropped -> fleet.drop(fact.id, context)
            is StoreUpdate.Unreadable -> {
                fact.id?.let { fleet.drop(it, context.copy(lapseMillis = 0)) }
                log.warn(
                    "A record can't be used.",
                    LogField("key", record.key),
                    LogField("offset", record.offset),
                    LogField("reason", fact.reason),
                )
            }
            StoreUpdate.Irrelevant -> Unit
        }
    }

    private fun configure(fact: StoreUpdate.Configuration, record: StoreRecord, context: UpdateContext) {
        val previous = state.routing?.configuration?.version
        state.routing = RoutingTable(fact.configuration)
        log.info(
            "The configuration is in force.",
            LogField("version", fact.configuration.version),
            LogField("previous", previous),
            LogField("offset", record.offset),
            LogField("source", context.source),
            LogField("routes", fact.configuration.routes.size),
        )
    }

    private class Topic {
        val knowledge = TopicReplica()
        var confirmedAtMillis: Long? = null
    }
}

/** Longer without an answer of the store, entries may have lapsed although their servers live. */
private const val TROUBLE_MILLIS = 1_500L

/** The platform says that lapsed entries of living servers are back about two seconds after the store is. */
private const val LAPSE_MILLIS = 2_200L
