package org.bulrushtack.forward.store

import arrow.core.Either
import arrow.core.left
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.OutageReadSchedule
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Polls the operators' records, the entries of backend servers and the reports of their crashes from the store. One
 * daemon polls often and passes the records on to the others. While the replica gets no records from it, the live
 * daemons take turns at trying, and one that succeeds goes on polling until another daemon's records are fresher.
 */
internal class StoreFollower(
    private val store: RecordStore,
    private val replica: StoreReplica,
    private val schedule: OutageReadSchedule,
    private val thread: ForwardThread,
    private val metrics: ForwardMetrics,
    private val log: EventLog,
) {
    private val polls = POLL_INTERVALS_MILLIS.mapValues { (_, millis) -> Poll(intervalMillis = millis) }
    private val startedAtMillis = thread.nowMillis()
    private var unavailable = false
    private var takesTurns = false
    private var isReader = false
    private var isUnannounced = false

    /** Called when this daemon has read the store although another one should read for all. */
    var onRead: () -> Unit = {}

    /** The failed tries to read the store since this daemon's last successful one. */
    val failures: Int get() = schedule.failures

    /** Polls the topics that are due; [isReader] tells whether this daemon reads on behalf of all. */
    fun tick(isReader: Boolean) {
        val nowMillis = thread.nowMillis()
        this.isReader = isReader
        polls.forEach { (topic, poll) ->
            val isDue = nowMillis - poll.sentAtMillis >= poll.intervalMillis
            when {
                !poll.isStarted -> startPoll(topic, poll, nowMillis)
                isReader && !poll.isFailing -> if (isDue) startPoll(topic, poll, nowMillis)
                poll.replacesReader && nowMillis >= poll.continuesAtMillis -> continuePoll(topic, poll, nowMillis)
            }
        }
        tryNext(nowMillis)
    }

    /** Goes on reading in place of the usual daemon unless another one has read later. */
    private fun continuePoll(topic: StoreTopic, poll: Poll, nowMillis: Long) {
        val readMillis = nowMillis - poll.sentAtMillis
        if (replica.ageMillis(topic) < readMillis - ROUNDING_MILLIS) poll.replacesReader = false
        if (poll.replacesReader) startPoll(topic, poll, nowMillis)
    }

    /** Tries the topic whose last try is longest ago, so that one that can't be read delays no other one. */
    private fun tryNext(nowMillis: Long) {
        val overdueMillis = polls.maxOf { (topic, poll) -> overdueMillis(topic, poll, nowMillis) }
        val next = polls.entries.sortedBy { it.value.sentAtMillis }.firstOrNull { (topic, poll) ->
            overdueMillis(topic, poll, nowMillis) >= 0 || (isReader && poll.isFailing)
        }
        if (overdueMillis < 0) takesTurns = false
        if (next != null && !next.value.inFlight && schedule.shouldTry(overdueMillis, isReader, nowMillis)) {
            if (!isReader && !takesTurns) logTurn(next.key)
            takesTurns = !isReader
            next.value.replacesReader = !isReader
            startPoll(next.key, next.value, nowMillis)
        }
    }

    /** How long ago the records of [topic] should have come from another daemon. */
    private fun overdueMillis(topic: StoreTopic, poll: Poll, nowMillis: Long): Long {
        val ageMillis = replica.ageMillis(topic).takeIf { it != Long.MAX_VALUE } ?: (nowMillis - startedAtMillis)
        return ageMillis - poll.intervalMillis - PASSING_ON_MILLIS
    }

    private fun startPoll(topic: StoreTopic, poll: Poll, nowMillis: Long) {
        if (poll.inFlight) return
        poll.inFlight = true
        poll.sentAtMillis = nowMillis
        val offset = replica.endOffset(topic)
        val reply = if (offset < 0) store.newest(topic) else store.read(topic, offset, waitMillis = 0)
        thread.whenDone(reply) { batch, failure ->
            onReply(topic, poll, batch ?: PlatformFailure("unexpected: $failure").left())
        }
    }

    private fun onReply(topic: StoreTopic, poll: Poll, reply: Either<PlatformFailure, RecordBatch>) {
        val nowMillis = thread.nowMillis()
        val tookMillis = nowMillis - poll.sentAtMillis
        poll.inFlight = false
        poll.continuesAtMillis = poll.sentAtMillis + schedule.continuationMillis(poll.intervalMillis)
        poll.isFailing = reply.isLeft()
        if (poll.isFailing) poll.replacesReader = false
        metrics.recordStoreCall(topic = topic, millis = tookMillis, failed = reply.isLeft())
        reply.fold(
            ifLeft = {
                schedule.recordFailure(sentAtMillis = poll.sentAtMillis, nowMillis = nowMillis)
                if (!unavailable) logOutage(topic, it)
            },
            ifRight = { batch ->
                if (unavailable) log.info("The platform's store is available again.", LogField("topic", topic))
                unavailable = false
                schedule.recordSuccess()
                // The store responds again: the daemon that reads for all goes back to the other topics as well.
                polls.values.forEach { it.isFailing = false }
                replica.merge(topic, batch, ageMillis = tookMillis, source = SOURCE)
                startOverdue(nowMillis)
                if (!isReader) announce()
            },
        )
    }

    /**
     * Announces what was read once the reads of the other topics have ended as well: a sync that is on its way holds up
     * the next one, and with it what is read meanwhile.
     */
    private fun announce() {
        if (isUnannounced) return
        isUnannounced = true
        thread.schedule(ANNOUNCEMENT_DELAY_MILLIS) {
            isUnannounced = false
            onRead()
        }
    }

    /**
     * While the store is away one topic is tried at a time; the others follow as soon as it responds. A daemon whose
     * turn it is doesn't wait until a topic that is due is overdue as well, as nobody else will read it before. One
     * that was just read stays overdue if not all of it could be read.
     */
    private fun startOverdue(nowMillis: Long) = polls
        .filter { (topic, poll) ->
            val isDue = overdueMillis(topic, poll, nowMillis) >= if (takesTurns) -PASSING_ON_MILLIS else 0
            isDue && nowMillis - poll.sentAtMillis >= SHORTEST_PAUSE_MILLIS
        }
        .forEach { (topic, poll) ->
            poll.replacesReader = !isReader
            startPoll(topic, poll, nowMillis)
        }

    private fun logTurn(topic: StoreTopic) = log.info(
        "No daemon passes on fresh records; this daemon takes its turns at reading the platform's store.",
        LogField("topic", topic),
        LogField("age_millis", replica.ageMillis(topic)),
    )

    private fun logOutage(topic: StoreTopic, failure: PlatformFailure) {
        unavailable = true
        log.warn(
            "The platform's store is unavailable.",
            LogField("topic", topic),
            LogField("reason", failure.reason),
            LogField("known_to", replica.endOffset(topic)),
            LogField("age_millis", replica.ageMillis(topic)),
        )
    }

    private class Poll(
        val intervalMillis: Long,
    ) {
        var inFlight = false
        var isFailing = false
        var replacesReader = false
        var sentAtMillis = NEVER_MILLIS
        var continuesAtMillis = NEVER_MILLIS

        val isStarted: Boolean get() = sentAtMillis != NEVER_MILLIS
    }
}

private const val SOURCE = "store"

/** The shortest time between two reads of a topic: the tick of the daemon. */
private const val SHORTEST_PAUSE_MILLIS = 100L

/** A few times what a read takes; a slow store may take longer, and the next sync passes on what it returns. */
private const val ANNOUNCEMENT_DELAY_MILLIS = 25L
private const val NEVER_MILLIS = Long.MIN_VALUE / 2

/** A change has two seconds to reach every daemon; it may wait half a second here, the rest is for the syncs. */
private const val POLL_INTERVAL_MILLIS = 500L

/** A report of a crash has three seconds to reach every daemon. */
private const val CRASHES_POLL_INTERVAL_MILLIS = 1_000L
internal val POLL_INTERVALS_MILLIS = mapOf(
    StoreTopic.OPERATOR to POLL_INTERVAL_MILLIS,
    StoreTopic.BACKEND_SERVERS to POLL_INTERVAL_MILLIS,
    StoreTopic.CRASHES to CRASHES_POLL_INTERVAL_MILLIS,
)

/**
 * Each daemon of an older build that passes an age on may round it down by a millisecond or two, so that this daemon's
 * own read comes back as a slightly later one. Less than the times vary at which daemons go on reading.
 */
private const val ROUNDING_MILLIS = 25L

/** Two missed syncs after the last read. */
internal const val PASSING_ON_MILLIS = 600L
