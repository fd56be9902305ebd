package org.bulrushtack.forward.store

import arrow.core.Either
import arrow.core.left
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreReadability
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog

/**
 * Polls the operators' records, the entries of backend servers and the reports of their crashes from the store. One
 * daemon polls often and passes the records on to the others. If it can't read the store it says so, and the next one
 * in rank takes over. While the replica gets no records from any, the live daemons take turns at trying, and one that
 * succeeds goes on polling until another daemon's records are fresher.
 */
internal class StoreFollower(
    private val store: RecordStore,
    private val replica: StoreReplica,
    private val role: ReaderRole,
    private val thread: ForwardThread,
    private val metrics: ForwardMetrics,
    log: EventLog,
) {
    private val polls = POLL_INTERVALS_MILLIS.mapValues { (_, millis) -> Poll(intervalMillis = millis) }
    private val startedAtMillis = thread.nowMillis()
    private val outageLog = StoreOutageLog(
        replica = replica,
        log = log,
        clock = thread::nowMillis,
        isStopping = { role.isLeaving },
    )

    /** Called when this daemon has read the store in place of the first one in rank, and whether it got records. */
    var onRead: (hasRecords: Boolean) -> Unit = {}

    /** Called when a poll of the store failed. */
    var onFailure: (PlatformFailure) -> Unit = {}

    /** Called when the other daemons have to hear whether this one can read the store. */
    var onReadability: () -> Unit = {}

    /** Whether this daemon reads on behalf of all. */
    val isReader: Boolean get() = role.isReader

    /** The failed tries to read the store since this daemon's last successful one. */
    val failures: Int get() = role.schedule.failures

    /** Polls the topics that are due. */
    fun tick() {
        val nowMillis = thread.nowMillis()
        role.update(nowMillis)
        outageLog.recordSubstitute(role.isSubstitute && role.polls)
        polls.forEach { (topic, poll) ->
            when {
                !poll.isStarted -> startPoll(topic, poll, nowMillis)
                role.polls && !poll.isFailing -> if (poll.isDue(nowMillis)) startPoll(topic, poll, nowMillis)
                poll.replacesReader && nowMillis >= poll.continuesAtMillis -> {
                    // It goes on reading unless another daemon has read later.
                    val readMillis = nowMillis - poll.sentAtMillis
                    poll.replacesReader = replica.ageMillis(topic) >= readMillis - ROUNDING_MILLIS
                    if (poll.replacesReader) startPoll(topic, poll, nowMillis)
                }
            }
        }
        takeOver(nowMillis)
        tryNext(nowMillis)
    }

    /**
     * Reads the store at once since no other daemon responds, however young the replica is, and goes on until it hears
     * of records that were read later. A daemon that can't read the store is left to its own waits.
     */
    fun readUnheard() {
        val nowMillis = thread.nowMillis()
        if (role.polls || role.isUnreadable) return
        polls.filterValues { it.isDue(nowMillis) }.forEach { (topic, poll) ->
            poll.replacesReader = true
            startPoll(topic, poll, nowMillis)
        }
    }

    /**
     * Tries one topic at once in place of daemons that can't read the store, until the replica is overdue in an outage
     * and all take turns. The first turns may be those of daemons that get no reply.
     */
    private fun takeOver(nowMillis: Long) {
        val areTurnsEnough = overdueMillis(nowMillis) >= 0 && role.isOutageLikely(nowMillis)
        if (!role.mayTakeOver || areTurnsEnough || polls.values.any { it.inFlight }) return
        val waitMillis = role.waitMillis(nowMillis)
        if (waitMillis > 0) {
            thread.schedule(waitMillis) { takeOver(thread.nowMillis()) }
        } else {
            role.recordTry()
            polls.entries.minBy { it.value.sentAtMillis }.let { (topic, poll) -> startPoll(topic, poll, nowMillis) }
        }
    }

    /**
     * Tries the topic whose last try is longest ago, so that one that can't be read delays no other one. A daemon that
     * can't read the store tries all topics, as it may have tried only one that nobody can read.
     */
    private fun tryNext(nowMillis: Long) {
        val overdueMillis = overdueMillis(nowMillis)
        val next = polls.entries.sortedBy { it.value.sentAtMillis }.firstOrNull { (topic, poll) ->
            overdueMillis(topic, poll, nowMillis) >= 0 || role.isUnreadable || (role.isReader && poll.isFailing)
        }
        if (overdueMillis < 0) outageLog.recordTurns(isTurn = false)
        if (next != null && !next.value.inFlight && role.schedule.shouldTry(overdueMillis, role.isReader, nowMillis)) {
            val isTurn = !role.isReader && overdueMillis >= 0
            outageLog.recordTurns(isTurn, next.key)
            next.value.replacesReader = isTurn
            startPoll(next.key, next.value, nowMillis)
        }
    }

    /** How long ago the records of the topic that is most overdue should have come. */
    private fun overdueMillis(nowMillis: Long): Long =
        polls.maxOf { (topic, poll) -> overdueMillis(topic, poll, nowMillis) }

    /** How long ago the records of [topic] should have come from another daemon. */
    private fun overdueMillis(topic: StoreTopic, poll: Poll, nowMillis: Long): Long {
        val ageMillis = replica.ageMillis(topic).takeIf { it != Long.MAX_VALUE } ?: (nowMillis - startedAtMillis)
        return ageMillis - poll.intervalMillis - PASSING_ON_MILLIS
    }

    private fun startPoll(topic: StoreTopic, poll: Poll, nowMillis: Long) {
        if (poll.inFlight) return
        poll.inFlight = true
        poll.sentAtMillis = nowMillis
        review { recordSent(topic, nowMillis) }
        thread.schedule(role.silenceMillis) { review { review(thread.nowMillis()) } }
        val offset = replica.endOffset(topic)
        val isWhole = replica.needsWhole(topic)
        val reply = if (isWhole) store.newest(topic) else store.read(topic, offset, waitMillis = 0)
        thread.whenDone(reply) { batch, failure ->
            onReply(topic, poll, batch ?: PlatformFailure("unexpected: $failure").left())
        }
    }

    private fun onReply(topic: StoreTopic, poll: Poll, reply: Either<PlatformFailure, RecordBatch>) {
        val nowMillis = thread.nowMillis()
        val tookMillis = nowMillis - poll.sentAtMillis
        poll.inFlight = false
        poll.continuesAtMillis = poll.sentAtMillis + role.schedule.continuationMillis(poll.intervalMillis)
        poll.isFailing = reply.isLeft()
        if (poll.isFailing) poll.replacesReader = false
        metrics.recordStoreCall(topic = topic, millis = tookMillis, failed = reply.isLeft())
        reply.fold(
            ifLeft = { failure ->
                review { recordFailure(topic, nowMillis) }
                val isFirstInOutage = role.isReader && overdueMillis(nowMillis) >= 0
                val failing = if (isFirstInOutage) 1 else role.failingCount(nowMillis)
                role.schedule.recordFailure(sentAtMillis = poll.sentAtMillis, nowMillis = nowMillis, failing = failing)
                onFailure(failure)
                outageLog.recordFailure(topic, failure)
            },
            ifRight = { batch ->
                outageLog.recordSuccess(topic)
                role.schedule.recordSuccess()
                role.recordRead()
                // The store responds again: the daemon that reads for all goes back to the other topics as well.
                polls.values.forEach { it.isFailing = false }
                replica.merge(topic, batch, ageMillis = tookMillis, source = SOURCE)
                review { recordSuccess(topic, nowMillis) }
                if (replica.needsWhole(topic) && !batch.complete) startPoll(topic, poll, nowMillis)
                startOthers(nowMillis)
                if (!role.isReader || role.isSubstitute) onRead(batch.records.isNotEmpty())
            },
        )
    }

    /** Lets [judge] decide whether this daemon can read the store, and tells the others of a change. */
    private fun review(judge: StoreReadability.() -> Unit) {
        if (role.review(thread.nowMillis(), judge)) {
            outageLog.recordReadability(role.isUnreadable)
            onReadability()
        }
    }

    /**
     * Where one topic is tried at a time, the others follow as soon as the store responds. A daemon whose turn it is
     * doesn't wait until a topic that is due is overdue as well, as nobody else will read it before. One that was just
     * read stays overdue if not all of it could be read.
     */
    private fun startOthers(nowMillis: Long) = polls
        .filter { (topic, poll) ->
            val overdueFromMillis = if (outageLog.takesTurns) -PASSING_ON_MILLIS else 0
            val isDue = overdueMillis(topic, poll, nowMillis) >= overdueFromMillis ||
                (role.isReader && poll.isDue(nowMillis))
            isDue && nowMillis - poll.sentAtMillis >= SHORTEST_PAUSE_MILLIS
        }
        .forEach { (topic, poll) ->
            poll.replacesReader = !role.isReader
            startPoll(topic, poll, nowMillis)
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

        fun isDue(nowMillis: Long): Boolean = nowMillis - sentAtMillis >= intervalMillis
    }
}

private const val SOURCE = "store"

/** The shortest time between two reads of a topic: the tick of the daemon. */
private const val SHORTEST_PAUSE_MILLIS = 100L

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
