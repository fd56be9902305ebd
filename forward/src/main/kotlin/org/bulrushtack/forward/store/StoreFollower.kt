package org.bulrushtack.forward.store

import arrow.core.Either
import arrow.core.left
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Polls the operators' records, the entries of backend servers and the reports of their crashes from the store. One
 * daemon polls often and passes the records on to the others; a daemon that has received none for a while polls the
 * store itself.
 */
internal class StoreFollower(
    private val store: RecordStore,
    private val replica: StoreReplica,
    private val thread: ForwardThread,
    private val metrics: ForwardMetrics,
    private val log: EventLog,
) {
    private val polls = POLL_INTERVALS_MILLIS.mapValues { (_, millis) -> Poll(intervalMillis = millis) }
    private var unavailable = false

    /** Polls the topics that are due; [isReader] tells whether this daemon reads on behalf of all. */
    fun tick(isReader: Boolean) {
        val nowMillis = thread.nowMillis()
        polls.forEach { (topic, poll) ->
            val stale = replica.ageMillis(topic) > poll.intervalMillis + PASSING_ON_MILLIS
            val due = (isReader || stale) && nowMillis - poll.sentAtMillis >= poll.intervalMillis
            if (due && !poll.inFlight) startPoll(topic, poll, nowMillis)
        }
    }

    /** Reads the daemons' own records once. */
    fun readDaemons() {
        thread.whenDone(store.newest(StoreTopic.DAEMONS)) { reply, failure ->
            settled(reply, failure).fold(
                ifLeft = { log.warn("The daemon records could not be read.", LogField("reason", it.reason)) },
                ifRight = { replica.merge(StoreTopic.DAEMONS, it, ageMillis = 0, source = SOURCE) },
            )
        }
    }

    private fun startPoll(topic: StoreTopic, poll: Poll, nowMillis: Long) {
        poll.inFlight = true
        poll.sentAtMillis = nowMillis
        val offset = replica.endOffset(topic)
        val reply = if (offset < 0) store.newest(topic) else store.read(topic, offset, waitMillis = 0)
        thread.whenDone(reply) { batch, failure -> onReply(topic, poll, settled(batch, failure)) }
    }

    private fun settled(
        reply: Either<PlatformFailure, RecordBatch>?,
        failure: Throwable?,
    ): Either<PlatformFailure, RecordBatch> = reply ?: PlatformFailure("unexpected: $failure").left()

    private fun onReply(topic: StoreTopic, poll: Poll, reply: Either<PlatformFailure, RecordBatch>) {
        val tookMillis = thread.nowMillis() - poll.sentAtMillis
        poll.inFlight = false
        metrics.recordStoreCall(topic = topic, millis = tookMillis, failed = reply.isLeft())
        reply.fold(
            ifLeft = { if (!unavailable) logOutage(topic, it) },
            ifRight = { batch ->
                if (unavailable) log.info("The platform's store is available again.", LogField("topic", topic))
                unavailable = false
                replica.merge(topic, batch, ageMillis = tookMillis, source = SOURCE)
            },
        )
    }

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
        var sentAtMillis = Long.MIN_VALUE / 2
    }
}

private const val SOURCE = "store"

/** A change has two seconds to reach every daemon; it may wait half a second here, the rest is for the syncs. */
private const val POLL_INTERVAL_MILLIS = 500L

/** A report of a crash has three seconds to reach every daemon. */
private const val CRASHES_POLL_INTERVAL_MILLIS = 1_000L
private val POLL_INTERVALS_MILLIS = mapOf(
    StoreTopic.OPERATOR to POLL_INTERVAL_MILLIS,
    StoreTopic.BACKEND_SERVERS to POLL_INTERVAL_MILLIS,
    StoreTopic.CRASHES to CRASHES_POLL_INTERVAL_MILLIS,
)

/** Two missed syncs after the last read. */
private const val PASSING_ON_MILLIS = 600L
