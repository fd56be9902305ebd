package org.bulrushtack.forward.lifecycle

import org.bulrushtack.core.request.Backoff
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.peer.DaemonMessages
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.store.StoreReplica
import kotlin.random.Random

/**
 * Writes this daemon's record to the store, whose offset becomes its rank, then reads the other daemons' records. While
 * no daemon can read the store, it rarely tries to write.
 */
internal class Registration(
    private val store: RecordStore,
    private val replica: StoreReplica,
    private val state: ForwardState,
    private val thread: ForwardThread,
    private val log: EventLog,
    private val random: Random,
) {
    private val daemons = state.daemons
    private val waits = Backoff(random = random, firstMillis = FIRST_WAIT_MILLIS, maximumMillis = MAXIMUM_WAIT_MILLIS)
    private var attempts = 0
    private var triedAtMillis = 0L
    private var failedReads = 0
    private var isCheckDue = false

    /** Retries until the record is written. A record that is written twice does no harm: the later offset counts. */
    fun start() {
        attempts += 1
        triedAtMillis = thread.nowMillis()
        val self = daemons.self
        val value = DaemonMessages.toWire(self, ageMillis = 0).toByteArray()
        thread.whenDone(store.put(topic = StoreTopic.DAEMONS, key = self.name, value = value)) { result, failure ->
            result?.fold(ifLeft = { scheduleRetry(it.reason) }, ifRight = { onRegistered(it) })
            if (failure != null) scheduleRetry(failure.toString())
        }
    }

    /** Registers again if this daemon's record is gone after the store came back from an older copy. */
    fun checkAfterRestore() {
        if (isCheckDue || daemons.self.rank == null) return
        isCheckDue = true
        thread.schedule(random.nextLong(CHECK_SPREAD_MILLIS)) { readDaemons() }
    }

    private fun onRegistered(rank: Long) {
        daemons.self = daemons.self.copy(rank = rank)
        state.startupGracePeriod.markRegistered(thread.nowMillis())
        log.info("This daemon is registered.", LogField("rank", rank), LogField("tries", attempts))
        readDaemons()
    }

    private fun readDaemons() {
        thread.whenDone(store.newest(StoreTopic.DAEMONS)) { reply, failure ->
            val reason = failure?.toString() ?: reply?.leftOrNull()?.reason
            if (reason == null) {
                reply?.onRight { onDaemons(it) }
            } else {
                log.warn("The daemon records could not be read; trying again.", LogField("reason", reason))
                failedReads += 1
                thread.schedule(waits.delayMillis(failedReads)) { readDaemons() }
            }
        }
    }

    private fun onDaemons(batch: RecordBatch) {
        replica.merge(StoreTopic.DAEMONS, batch, ageMillis = 0, source = "store")
        val self = daemons.self
        val isLost = isCheckDue && batch.records.none { it.key == self.name && it.offset == self.rank }
        isCheckDue = false
        if (isLost) {
            log.warn("The record of this daemon is gone from the platform's store.", LogField("rank", self.rank))
            start()
        }
    }

    private fun scheduleRetry(reason: String) {
        if (attempts == 1) log.warn("This daemon is not registered yet; trying again.", LogField("reason", reason))
        thread.schedule(waits.delayMillis(attempts)) { retryWhenReadable() }
    }

    /** A fresh replica shows that this daemon or another reads the store, so that a try is worth its price. */
    private fun retryWhenReadable() {
        val isReadable = replica.ageMillis(StoreTopic.OPERATOR) < READABLE_MILLIS
        val isOverdue = thread.nowMillis() - triedAtMillis >= LONGEST_WAIT_MILLIS
        if (isReadable || isOverdue) start() else thread.schedule(waits.delayMillis(1)) { retryWhenReadable() }
    }
}

/** The waits between tries, and between looks at the replica, which cost the store nothing. */
private const val FIRST_WAIT_MILLIS = 500L
private const val MAXIMUM_WAIT_MILLIS = 4_000L

/** Keeps all daemons from reading one another's records at once. */
private const val CHECK_SPREAD_MILLIS = 1_000L

/** A replica that is refreshed every 0.5 s by one daemon and passed on every 0.4 s is younger. */
private const val READABLE_MILLIS = 1_100L

/** A store that refuses reads may still take writes. */
private const val LONGEST_WAIT_MILLIS = 30_000L
