package org.bulrushtack.forward.store

import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecordDecoder
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.TopicReplica
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.quarantine.CrashReports

/** Merges records from the platform's store and from peers, and applies their updates to [state]. */
internal class StoreReplica(
    private val state: ForwardState,
    decoder: StoreRecordDecoder,
    peers: PeerRecords,
    crashReports: CrashReports,
    private val clock: MonotonicClock,
    private val log: EventLog,
) {
    private val applier = RecordApplier(
        state = state,
        decoder = decoder,
        peers = peers,
        crashReports = crashReports,
        clock = clock,
        log = log,
    )

    private val topics = StoreTopic.entries.associateWith { topic ->
        LocalTopic(RecordApplication(log) { record, context -> applier.apply(topic, record, context) })
    }

    /** The configuration that this daemon goes by. */
    val knowledge: ConfigurationKnowledge get() = state.knowledge(clock.nowMillis())

    /** Called when a topic was found to have come back from an older copy. */
    var onRestored: (StoreTopic) -> Unit = {}

    /**
     * Merges [batch], which the store returned [ageMillis] ago to [source]. Of a later era of the store only a whole
     * topic is taken, since nothing else says what of the records of an earlier era still holds.
     */
    fun merge(topic: StoreTopic, batch: RecordBatch, ageMillis: Long, source: String) {
        val nowMillis = clock.nowMillis()
        val replica = topics.getValue(topic).replica
        val isLaterEra = replica.eraOf(batch) > replica.era
        val isRestored = isLaterEra && replica.isRestoredBy(batch)
        if (!replica.accepts(batch)) {
            replica.merge(batch)
            return
        }
        if (isRestored) {
            state.lapses.recordRestored(topic, nowMillis)
            logRestored(topic, batch, source)
        }
        val unreadMillis = confirm(topic, batch, nowMillis, readAtMillis = nowMillis - ageMillis)
        val isCurrent = isLaterEra || batch.endOffset >= replica.endOffset
        val changed = if (isCurrent) replica.merge(batch) else emptyList()
        val context = UpdateContext(
            nowMillis = nowMillis,
            readAtMillis = nowMillis - ageMillis,
            dropDelayMillis = state.lapses.dropDelayMillis(topic, nowMillis),
            source = source,
            isRestored = isRestored,
            unreadMillis = unreadMillis,
        )
        topics.getValue(topic).application.apply(changed, context)
        applier.tick(nowMillis)
        if (isRestored) onRestored(topic)
    }

    /** Records that [topic] was read at [readAtMillis], and returns the time since the last read before. */
    private fun confirm(topic: StoreTopic, batch: RecordBatch, nowMillis: Long, readAtMillis: Long): Long {
        val local = topics.getValue(topic)
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
        return unreadMillis
    }

    private fun logRestored(topic: StoreTopic, batch: RecordBatch, source: String) {
        val replica = topics.getValue(topic).replica
        log.warn(
            "The platform's store came back from an older copy.",
            LogField("topic", topic),
            LogField("era", replica.eraOf(batch)),
            LogField("previous_era", replica.era),
            LogField("end", batch.endOffset),
            LogField("previous_end", replica.endOffset),
            LogField("source", source),
        )
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

    /** The era of the store to which [endOffset] of [topic] belongs. */
    fun era(topic: StoreTopic): Long = topics.getValue(topic).replica.era

    /** Whether [topic] has to be read from its beginning. */
    fun needsWhole(topic: StoreTopic): Boolean = endOffset(topic) < 0 || topics.getValue(topic).replica.needsWhole

    /** The records that a peer lacks whose [topic] ends at [offset] of [era] (null: unknown), or null if it has all. */
    fun since(topic: StoreTopic, offset: Long, era: Long?): RecordBatch? =
        topics.getValue(topic).replica.since(offset, era)

    /**
     * Whether a daemon whose replica of [topic] ends at [endOffset] of [era], null if unknown, and is [ageMillis] old
     * has records that this one should get from it. Without [isFresher], which tells that it is to have the freshest,
     * this daemon gets them from others unless its own are old or of an earlier era.
     */
    fun isBehind(topic: StoreTopic, endOffset: Long, era: Long?, ageMillis: Long, isFresher: Boolean): Boolean {
        val ownEra = era(topic)
        val ownAgeMillis = ageMillis(topic)
        val hasMore = endOffset > endOffset(topic) || ageMillis < ownAgeMillis - MARGIN_MILLIS
        val isBehind = when {
            (era ?: ownEra) > ownEra -> true
            (era ?: ownEra) < ownEra -> false
            else -> hasMore && (isFresher || ownAgeMillis > STALE_MILLIS)
        }
        return topic in POLL_INTERVALS_MILLIS && isBehind
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
