package org.bulrushtack.forward.store

import arrow.core.Either
import org.bulrushtack.core.platform.PlatformFailure
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/**
 * Reads the operators' records and the entries of backend servers from the store. One daemon reads often and the others
 * hear of it from that one; a daemon that has heard nothing for a while reads itself.
 */
internal class StoreFollower(
    private val store: RecordStore,
    private val replica: StoreReplica,
    private val thread: ForwardThread,
    private val metrics: ForwardMetrics,
    private val log: EventLog,
) {
    private val calls = FOLLOWED.associateWith { Call() }
    private var lost = false

    /** Asks the store where that is due; [reader] says whether this daemon reads for all. */
    fun tick(isReader: Boolean) {
        val nowMillis = thread.nowMillis()
        FOLLOWED.forEach { topic ->
            val call = calls.getValue(topic)
            val stale = replica.ageMillis(topic) > STALE_MILLIS
            val due = (isReader || stale) && nowMillis - call.askedAtMillis >= INTERVAL_MILLIS
            if (due && !call.inFlight) ask(topic, call, nowMillis)
        }
    }

    /** Reads the daemons' own records once. */
    fun readDaemons() {
        store.newest(StoreTopic.DAEMONS).thenAcceptAsync(
            { answer ->
                answer.fold(
                    ifLeft = { log.warn("The records of other daemons were not read.", LogField("reason", it.reason)) },
                    ifRight = { replica.merge(StoreTopic.DAEMONS, it, ageMillis = 0, source = SOURCE) },
                )
            },
            thread.loop,
        )
    }

    private fun ask(topic: StoreTopic, call: Call, nowMillis: Long) {
        call.inFlight = true
        call.askedAtMillis = nowMillis
        val offset = replica.endOffset(topic)
        val answer = if (offset < 0) store.newest(topic) else store.read(topic, offset, waitMillis = 0)
        answer.thenAcceptAsync({ take(topic, call, it) }, thread.loop)
    }

    private fun take(topic: StoreTopic, call: Call, answer: Either<PlatformFailure, RecordBatch>) {
        val tookMillis = thread.nowMillis() - call.askedAtMillis
        call.inFlight = false
        metrics.recordStoreCall(topic = topic, millis = tookMillis, failed = answer.isLeft())
        answer.fold(
            ifLeft = { if (!lost) noteLost(topic, it) },
            ifRight = { batch ->
                if (lost) log.info("The platform's store answers again.", LogField("topic", topic))
                lost = false
                replica.merge(topic, batch, ageMillis = tookMillis, source = SOURCE)
            },
        )
    }

    private fun noteLost(topic: StoreTopic, failure: PlatformFailure) {
        lost = true
        log.warn(
            "The platform's store gave no answer.",
            LogField("topic", topic),
            LogField("reason", failure.reason),
            LogField("known_to", replica.endOffset(topic)),
            LogField("age_millis", replica.ageMillis(topic)),
        )
    }

    private class Call {
        var inFlight = false
        var askedAtMillis = Long.MIN_VALUE / 2
    }
}

private const val SOURCE = "store"
private val FOLLOWED = listOf(StoreTopic.OPERATOR, StoreTopic.BACKEND_SERVERS)

/** A change has two seconds to reach every daemon; half a second of it may pass here, the rest on the way on. */
private const val INTERVAL_MILLIS = 500L

/** Two missed syncs after a read. */
private const val STALE_MILLIS = 1_100L
