package org.bulrushtack.forward.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeRecordStore
import org.bulrushtack.forward.testing.FakeTime

/** Passes records of one backend server to one daemon, which hears another daemon or not. */
class LapsedEntryPolicyTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var daemon: Daemon

    @BeforeEach
    fun setUp() {
        time = FakeTime()
        daemon = Daemon()
    }

    // Guards against a daemon that takes the time for which it was out of contact for an outage of the store.
    @Test
    fun `a server that left while the daemon was out of contact is not used after its return`() {
        daemon.hearsFreshRecords(CALM_MILLIS)

        daemon.freezes(ABSENCE_MILLIS)
        daemon.getsRemoval()

        daemon.usesServer shouldBe false
    }

    @Test
    fun `a server that left is not used although the first message after the return brings no records`() {
        daemon.hearsFreshRecords(CALM_MILLIS)

        daemon.hearsNobody(ABSENCE_MILLIS)
        daemon.hearsOthers(SYNC_MILLIS)
        daemon.getsRemoval()

        daemon.usesServer shouldBe false
    }

    @Test
    fun `a server that left is not used by a daemon that reads the store again before it hears the others`() {
        daemon.hearsFreshRecords(CALM_MILLIS)

        daemon.hearsNobody(ABSENCE_MILLIS)
        daemon.getsRemoval(hearsOthers = false)

        daemon.usesServer shouldBe false
    }

    @Test
    fun `a server that left is not used after a daemon was out of contact several times`() {
        daemon.hearsFreshRecords(CALM_MILLIS)

        repeat(SHORT_ABSENCES) {
            daemon.hearsNobody(SHORT_ABSENCE_MILLIS)
            daemon.hearsOthers(SYNC_MILLIS)
        }
        daemon.getsRemoval()

        daemon.usesServer shouldBe false
    }

    @Test
    fun `a server whose entry lapsed is used while the other daemons were heard`() {
        daemon.hearsFreshRecords(CALM_MILLIS)

        daemon.hearsOthers(SHORTEST_OUTAGE_MILLIS)
        daemon.getsRemoval()

        daemon.usesServer shouldBe true
    }

    @Test
    fun `a server whose entry lapsed is used although the daemon was out of contact for a part of the outage`() {
        daemon.hearsFreshRecords(CALM_MILLIS)

        daemon.hearsOthers(SHORTEST_OUTAGE_MILLIS)
        daemon.hearsNobody(ABSENCE_MILLIS)
        daemon.getsRemoval()

        daemon.usesServer shouldBe true
    }

    @Test
    fun `a server whose entry lapsed is used by the only daemon`() {
        daemon.readsAlone(CALM_MILLIS)

        daemon.hearsNobody(ABSENCE_MILLIS)
        daemon.getsRemoval(hearsOthers = false)

        daemon.usesServer shouldBe true
    }

    @Test
    fun `a server whose entry lapsed is used by the last daemon that is left`() {
        daemon.hearsFreshRecords(CALM_MILLIS)
        daemon.readsAlone(CALM_MILLIS)

        daemon.hearsNobody(ABSENCE_MILLIS)
        daemon.getsRemoval(hearsOthers = false)

        daemon.usesServer shouldBe true
    }

    @Test
    fun `an absence that is over counts for no later outage`() {
        daemon.hearsFreshRecords(CALM_MILLIS)
        daemon.hearsNobody(ABSENCE_MILLIS)
        daemon.hearsFreshRecords(CALM_MILLIS)

        daemon.hearsOthers(SHORTEST_OUTAGE_MILLIS)
        daemon.getsRemoval()

        daemon.usesServer shouldBe true
    }

    private inner class Daemon {
        private val table = FakeDaemon.table(OWN_NUMBER)
        private val state = FakeDaemon.state(table)
        private val replica = FakeDaemon.replica(table, FakeRecordStore(), time, state, decoder = ::decode)

        val usesServer: Boolean get() = state.fleet.usable(SERVER, time.nowMillis()) != null

        fun hearsFreshRecords(millis: Int) = everySync(millis) {
            hear()
            merge(REGISTERED)
        }

        fun readsAlone(millis: Int) = everySync(millis) { merge(REGISTERED) }

        fun hearsOthers(millis: Int) = everySync(millis) { hear() }

        fun hearsNobody(millis: Int) = everySync(millis) {}

        /** As [hearsNobody], but the daemon itself does nothing either. */
        fun freezes(millis: Int) = time.jump(millis.toLong())

        fun getsRemoval(hearsOthers: Boolean = true) {
            if (hearsOthers) hear()
            merge(REMOVED)
        }

        private fun everySync(millis: Int, onSync: () -> Unit) = repeat(millis / TICK_MILLIS) { tick ->
            time.advance(TICK_MILLIS.toLong())
            if ((tick + 1) * TICK_MILLIS % SYNC_MILLIS == 0) onSync()
            state.silence.tick(time.nowMillis())
        }

        private fun hear() =
            table.observe(FakeDaemon.info(OTHER_NUMBER), atMillis = time.nowMillis(), direct = true)

        private fun merge(batch: RecordBatch) =
            replica.merge(StoreTopic.BACKEND_SERVERS, batch, ageMillis = AGE_MILLIS, source = "vm-$OTHER_NUMBER")
    }

    private fun decode(topic: StoreTopic, record: StoreRecord): StoreUpdate = when {
        topic != StoreTopic.BACKEND_SERVERS -> StoreUpdate.Irrelevant
        record.value == null -> StoreUpdate.ServerRemoved(record.key)
        else -> StoreUpdate.ServerUpdated(FakeDaemon.serverEntry(record.key))
    }

    private companion object {
        const val SERVER = "i-1"
        const val OWN_NUMBER = 2
        const val OTHER_NUMBER = 1
        const val TICK_MILLIS = 100
        const val SYNC_MILLIS = 400
        const val AGE_MILLIS = 60L
        const val CALM_MILLIS = 4_000
        const val ABSENCE_MILLIS = 4_000
        const val SHORT_ABSENCE_MILLIS = 1_200
        const val SHORT_ABSENCES = 3

        /** Entries can lapse in outages of more than two heartbeat intervals. */
        const val SHORTEST_OUTAGE_MILLIS = 2_800
        val REGISTERED = batch(offset = 0, value = byteArrayOf(1))
        val REMOVED = batch(offset = 1, value = null)

        fun batch(offset: Long, value: ByteArray?) = RecordBatch(
            records = listOf(StoreRecord(key = SERVER, offset = offset, value = value)),
            complete = false,
            endOffset = offset + 1,
        )
    }
}
