package org.bulrushtack.forward.testing

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.StartupGracePeriod
import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.quarantine.PromptQuarantine
import org.bulrushtack.core.store.RecordStore
import org.bulrushtack.core.store.StoreRecordDecoder
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.quarantine.CrashRecordWriter
import org.bulrushtack.forward.quarantine.CrashReports
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.store.LapsedEntryPolicy
import org.bulrushtack.forward.store.PeerRecords
import org.bulrushtack.forward.store.StoreReplica

/** Creates the state of single daemons. */
internal object FakeDaemon {
    /** A ready daemon whose rank is its [number]. */
    fun info(number: Int) = DaemonInfo(
        name = "vm-$number",
        incarnation = "1",
        dataCentre = "a",
        peerAddress = "10.0.0.$number:7340",
        frontAddress = "10.0.0.$number:8080",
        rank = number.toLong(),
        ready = true,
        leaving = false,
    )

    /** The entry of the plain backend server [id]. */
    fun serverEntry(id: String) = BackendServerEntry(
        id = id,
        service = "plain",
        address = "10.1.0.1:80",
        dataCentre = "a",
        slots = 1,
        leaving = false,
        coldMillis = 0,
        startedAtMillis = 1,
    )

    /** The table of daemon [number], which knows no other one. */
    fun table(number: Int) = DaemonTable(info(number))

    /** The shared state of the daemon with the table [daemons]. */
    fun state(daemons: DaemonTable) = ForwardState(
        daemons = daemons,
        startupGracePeriod = StartupGracePeriod(startedAtMillis = 0),
        lapses = LapsedEntryPolicy(heartbeatMillis = HEARTBEAT_MILLIS),
    )

    /** The replica of the daemon with the table [daemons], which can't decode any record unless [decoder] can. */
    fun replica(
        daemons: DaemonTable,
        store: RecordStore,
        time: FakeTime,
        state: ForwardState = state(daemons),
        decoder: StoreRecordDecoder = StoreRecordDecoder { _, _ -> StoreUpdate.Irrelevant },
    ): StoreReplica {
        val log = EventLogs(time).forComponent("knowledge")
        return StoreReplica(
            state = state,
            decoder = decoder,
            peers = PeerRecords(daemons = daemons, log = log),
            crashReports = CrashReports(
                quarantine = PromptQuarantine(),
                writer = CrashRecordWriter(store, time.thread, log),
                writerId = daemons.self.name,
                announcementDelayMillis = { 0 },
                thread = time.thread,
                log = log,
            ),
            clock = time,
            log = log,
        )
    }

    private const val HEARTBEAT_MILLIS = 1_200L
}
