package org.bulrushtack.forward.life

import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.StartupGracePeriod
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.peer.DaemonMessages
import org.bulrushtack.forward.store.StoreFollower

/** Writes this daemon's record into the store, which gives it its rank, and then reads those of the others. */
internal class Registration(
    private val store: RecordStore,
    private val follower: StoreFollower,
    private val daemons: DaemonTable,
    private val settling: StartupGracePeriod,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    private var tries = 0

    /** Goes on until the record stands. A record that stands twice does no harm: the later offset counts. */
    fun start() {
        tries += 1
        val self = daemons.self
        val value = DaemonMessages.toWire(self, ageMillis = 0).toByteArray()
        store.put(topic = StoreTopic.DAEMONS, key = self.name, value = value).thenAcceptAsync(
            { answer -> answer.fold(ifLeft = { again(it.reason) }, ifRight = { registered(it) }) },
            thread.loop,
        )
    }

    private fun registered(rank: Long) {
        daemons.self = daemons.self.copy(rank = rank)
        settling.registered(thread.nowMillis())
        log.info("This daemon is registered.", LogField("rank", rank), LogField("tries", tries))
        follower.readDaemons()
    }

    private fun again(reason: String) {
        if (tries == 1) log.warn("This daemon is not registered yet; trying again.", LogField("reason", reason))
        thread.after(RETRY_MILLIS) { start() }
    }
}

/** Few enough calls for many daemons that start while the store is down. */
private const val RETRY_MILLIS = 1_000L
