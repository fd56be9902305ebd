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
    private val topics = StoreTopic.entries.associateWith { LocalTopic() }
    private val fleetUpdater = FleetUpdater(fleet = state.fleet, log = log)
    private val configurationLog = ConfigurationLog(log)

    /** The configuration that this daemon goes by. */
    val knowledge: ConfigurationKnowledge get() = state.knowledge(clock.nowMillis())

    /** Merges [batch], which the store returned [ageMillis] ago to [source]. */
    fun merge(topic: StoreTopic, batch: RecordBatch, ageMillis: Long, source: String) {
        val nowMillis = clock.nowMillis()
        val local = topics.getValue(topic)
        val readAtMillis = nowMillis - ageMillis
        val unreadMillis = local.confirm(readAtMillis, batch.reachesEnd)
        if (topic == StoreTopic.OPERATOR) local.confirmedAtMillis?.let { state.configuration.recordConfirmed(it) }
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
        if (batch.endOffset >= local.replica.endOffset) {
            val dropDelayMillis = state.lapses.dropDelayMillis(topic, nowMillis)
            val context = UpdateContext(
                nowMillis = nowMillis,
                readAtMillis = nowMillis - ageMillis,
                dropDelayMillis = dropDelayMillis,
                source = source,
                unreadMillis = unreadMillis,
            )
            local.replica.merge(batch).sortedBy { it.offset }.forEach { record ->
                // Whatever a record does to the code that applies it, the others of the batch are not read again.
                runCatching { apply(topic, record, context) }.onFailure { logFailure(record, it) }
            }
        }
    }

    private fun logFailure(record: StoreRecord, failure: Throwable) = log.error(
        "A record could not be applied.",
        failure,
        LogField("key", record.key),
        LogField("offset", record.offset),
    )

    /** The time since this daemon or another last read [topic] from the store. */
    fun ageMillis(topic: StoreTopic): Long =
        topics.getValue(topic).confirmedAtMillis?.let { clock.nowMillis() - it } ?: Long.MAX_VALUE

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
        val startedAtMillis = clock.nowMillis()
        when (val update = decoder.decode(topic, record)) {
            is StoreUpdate.Configuration ->
                configure(update, record, context.copy(decodeMillis = clock.nowMillis() - startedAtMillis))
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
        val startedAtMillis = clock.nowMillis()
        val configuration = update.configuration
        val previous = state.routing?.configuration
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

    private class LocalTopic {
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
