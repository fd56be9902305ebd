package org.bulrushtack.forward.lifecycle

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeAtMost
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeSharedStore
import org.bulrushtack.forward.testing.FakeTime
import kotlin.random.Random

class RegistrationTest : AnnotationSpec() {
    private lateinit var system: System

    private class System {
        val time = FakeTime()
        val store = FakeSharedStore(time)
        val client = store.client(number = 0)
        val daemons = FakeDaemon.table(number = 0).also { it.self = it.self.copy(rank = null) }
        val replica = FakeDaemon.replica(daemons, client, time)
        val log = EventLogs(time).forComponent("life")
        val registration = Registration(
            store = client,
            replica = replica,
            state = FakeDaemon.state(daemons),
            thread = time.thread,
            log = log,
            random = Random(1),
        )

        fun mergeFreshRecords() = replica.merge(
            StoreTopic.OPERATOR,
            RecordBatch(records = emptyList(), complete = true, endOffset = 0),
            ageMillis = 0,
            source = "vm-1",
        )
    }

    @BeforeEach
    fun createSystem() {
        system = System()
    }

    // Guards against 140 daemons that start during an outage and ask the store once a second each.
    @Test
    fun `a daemon does not try to register while nobody reads the store`() {
        system.store.refuses = { true }
        system.registration.start()

        system.time.advance(OUTAGE_MILLIS)

        system.store.calls shouldBeAtMost OUTAGE_MILLIS.toInt() / LONGEST_WAIT_MILLIS + 1
        system.daemons.self.rank shouldBe null
    }

    @Test
    fun `a daemon registers within a second after another one has read the store`() {
        system.store.refuses = { true }
        system.registration.start()
        system.time.advance(OUTAGE_MILLIS)
        system.store.refuses = { false }

        system.mergeFreshRecords()
        system.time.advance(SECOND_MILLIS)

        system.daemons.self.rank shouldBe 0L
    }

    // Guards against a daemon that knows no others because its only read of their records failed.
    @Test
    fun `the daemons' records are read again after a failure`() {
        var reads = 0
        system.store.refuses = { reads++ == 1 }

        system.registration.start()
        system.time.advance(SECOND_MILLIS)

        system.replica.endOffset(StoreTopic.DAEMONS) shouldBe 1L
    }

    // Guards against two daemons of the same rank, as the store gives the offset of a lost record to another daemon.
    @Test
    fun `a daemon whose record is gone after the store came back registers again`() {
        system.registration.start()
        system.time.advance(SECOND_MILLIS)
        system.store.append(StoreTopic.DAEMONS, key = "another", value = byteArrayOf())

        system.registration.checkAfterRestore()
        system.time.advance(2 * SECOND_MILLIS)

        system.daemons.self.rank shouldBe 2L
    }

    @Test
    fun `a daemon whose record is still there after the store came back keeps its rank`() {
        system.registration.start()
        system.time.advance(SECOND_MILLIS)

        system.registration.checkAfterRestore()
        system.time.advance(2 * SECOND_MILLIS)

        system.daemons.self.rank shouldBe 0L
    }

    private companion object {
        const val OUTAGE_MILLIS = 60_000L
        const val SECOND_MILLIS = 1_000L

        /** A store that refuses reads may take writes; trying that more often would raise its load. */
        const val LONGEST_WAIT_MILLIS = 30_000
    }
}
