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
import org.bulrushtack.forward.quarantine.CrashReports

/** Merges records from the platform's store and from peers, and applies their updates to [state]. */
internal class StoreReplica(
    private val state: ForwardState,
    private val decoder: StoreRecordDecoder,
    private val peers: PeerRecords,
    private val crashReports: CrashReports,
    private val clock: MonotonicClock,
    private val log: EventLog,
) {
    private val topics = StoreTopic.entries.associateWith { topic ->
        LocalTopic(RecordApplication(log) { record, context -> apply(topic, record, context) })
    }
    private val fleetUpdater = FleetUpdater(fleet = state.fleet, log = log)

    /** Merges [batch], which the store returned [ageMillis] ago to [source]. */
    fun merge(topic: StoreTopic, batch: RecordBatch, ageMillis: Long, source: String) {
        val nowMillis = clock.nowMillis()
        val local = topics.getValue(topic)
        val readAtMillis = nowMillis - ageMillis
        val unreadMillis = local.confirm(readAtMillis, batch.reachesEnd)
        state.silence.tick(nowMillis)
        val unheardMillis =
            state.silence.unheardMillis(fromMillis = readAtMillis - unreadMillis, toMillis = readAtMillis)
        if (state.lapses.recordRead(topic, unreadMillis, unheardMillis, nowMillis)) {
            log.info(
                "Nobody read the store for a while; entries that are removed now may only have lapsed.",
                LogField("topic", topic),
                LogField("unread_millis", unreadMillis),
                LogField("unheard_millis", unheardMillis),
            )
        }
        val isCurrent = batch.endOffset >= local.replica.endOffset
        val changed = if (isCurrent) local.replica.merge(batch) else emptyList()
        val context = UpdateContext(
            nowMillis = nowMillis,
            readAtMillis = readAtMillis,
            dropDelayMillis = state.lapses.dropDelayMillis(topic, nowMillis),
            source = source,
        )
        local.application.apply(changed, context)
    }

    /** The time since this daemon or another last read [topic] from the store. */
    fun ageMillis(topic: StoreTopic): Long =
        topics.getValue(topic).confirmedAtMillis?.let { clock.nowMillis() - it } ?: Long.MAX_VALUE

    /** The same, or [Long.MAX_VALUE] while a record of [topic] is known and not applied. */
    fun appliedAgeMillis(topic: StoreTopic): Long =
        if (topics.getValue(topic).application.isComplete) ageMillis(topic) else Long.MAX_VALUE

    /** Whether the records of any polled topic should have been refreshed by now, by the store or by other daemons. */
    val isStale: Boolean
        get() = POLL_INTERVALS_MILLIS.any { (topic, millis) -> ageMillis(topic) >= millis + PASSING_ON_MILLIS }

    /** The offset that follows the last known record of [topic], or -1. */
    fun endOffset(topic: StoreTopic): Long = topics.getValue(topic).replica.endOffset

    /** The records of [topic] that a peer at [offset] lacks, or null when it lacks none. */
    fun since(topic: StoreTopic, offset: Long): RecordBatch? = topics.getValue(topic).replica.since(offset)

    /**
     * Whether a daemon whose replica of [topic] ends at [endOffset] and is [ageMillis] old has records that this one
     * should get from it. Without [isFresher], which tells that it is to have the freshest, this daemon gets them from
     * others unless its own are old.
     */
    fun isBehind(topic: StoreTopic, endOffset: Long, ageMillis: Long, isFresher: Boolean): Boolean {
        val ownAgeMillis = ageMillis(topic)
        val hasMore = endOffset > endOffset(topic) || ageMillis < ownAgeMillis - MARGIN_MILLIS
        return topic in POLL_INTERVALS_MILLIS && hasMore && (isFresher || ownAgeMillis > STALE_MILLIS)
    }

    private fun apply(topic: StoreTopic, record: StoreRecord, context: UpdateContext) = when (topic) {
        StoreTopic.DAEMONS -> peers.learnAddress(record)
        StoreTopic.CRASHES -> crashReports.apply(record)
        else -> applyUpdate(topic, record, context)
    }

    private fun applyUpdate(topic: StoreTopic, record: StoreRecord, context: UpdateContext) {
        when (val update = decoder.decode(topic, record)) {
            is StoreUpdate.Configuration -> configure(update, record, context)
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

    private fun configure(update: StoreUpdate.Configuration, record: StoreRecord, context: UpdateContext) {
        val previous = state.routing?.configuration?.version
        logProblems(update.configuration.problems - state.routing?.configuration?.problems.orEmpty().toSet(), record)
        state.routing = RoutingTable(update.configuration)
        log.info(
            "The configuration was applied.",
            LogField("version", update.configuration.version),
            LogField("previous", previous),
            LogField("offset", record.offset),
            LogField("source", context.source),
            LogField("routes", update.configuration.routes.size),
        )
    }

    private fun logProblems(problems: List<String>, record: StoreRecord) = problems.forEach { problem ->
        log.warn(
            "A part of the configuration can't be used.",
            LogField("reason", problem),
            LogField("key", record.key),
            LogField("offset", record.offset),
        )
    }

    private class LocalTopic(
        val application: RecordApplication,
    ) {
        val replica = TopicReplica()
        private var lastReadAtMillis: Long? = null

        /** When the topic was last read to its end, or null. */
        var confirmedAtMillis: Long? = null
            private set

        /**
         * Records that the topic was read at [readAtMillis], to its end if it [reachesEnd]; returns the time since the
         * last read before, or 0.
         */
        fun confirm(readAtMillis: Long, reachesEnd: Boolean): Long {
            val previousMillis = lastReadAtMillis ?: readAtMillis
            lastReadAtMillis = maxOf(previousMillis, readAtMillis)
            if (reachesEnd) confirmedAtMillis = maxOf(confirmedAtMillis ?: readAtMillis, readAtMillis)
            return readAtMillis - previousMillis
        }
    }
}

/** Less than this is only the time that messages take. */
private const val MARGIN_MILLIS = 200L

/** The oldest replica while one daemon reads every 0.5 s and passes on what it gets every 0.4 s. */
private const val STALE_MILLIS = 1_000L
