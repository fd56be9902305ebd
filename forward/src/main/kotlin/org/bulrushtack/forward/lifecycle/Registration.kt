package org.bulrushtack.forward.lifecycle

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.StartupGracePeriod
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.peer.DaemonMessages
import org.bulrushtack.forward.store.StoreFollower

/** Writes this daemon's record to the store, whose offset becomes its rank, then reads the other daemons' records. */
internal class Registration(
    private val store: RecordStore,
    private val follower: StoreFollower,
    private val daemons: DaemonTable,
    private val startupGracePeriod: StartupGracePeriod,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    private var attempts = 0

    /** Retries until the record is written. A record that is written twice does no harm: the later offset counts. */
    fun start() {
        attempts += 1
        val self = daemons.self
        val value = DaemonMessages.toWire(self, ageMillis = 0).toByteArray()
        thread.whenDone(store.put(topic = StoreTopic.DAEMONS, key = self.name, value = value)) { result, failure ->
            result?.fold(ifLeft = { scheduleRetry(it.reason) }, ifRight = { onRegistered(it) })
            if (failure != null) scheduleRetry(failure.toString())
        }
    }

    private fun onRegistered(rank: Long) {
        daemons.self = daemons.self.copy(rank = rank)
        startupGracePeriod.markRegistered(thread.nowMillis())
        log.info("This daemon is registered.", LogField("rank", rank), LogField("tries", attempts))
        follower.readDaemons()
    }

    private fun scheduleRetry(reason: String) {
        if (attempts == 1) log.warn("This daemon is not registered yet; trying again.", LogField("reason", reason))
        thread.schedule(RETRY_DELAY_MILLIS) { start() }
    }
}

/** Keeps the load low when many daemons start while the store is down. */
private const val RETRY_DELAY_MILLIS = 1_000L
