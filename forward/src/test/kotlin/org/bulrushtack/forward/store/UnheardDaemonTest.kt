package org.bulrushtack.forward.store

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeAtMost
import io.kotest.matchers.longs.shouldBeAtMost
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.OutageReadSchedule
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.readTurn
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeSharedStore
import org.bulrushtack.forward.testing.FakeTime
import kotlin.random.Random

/** The last of several daemons, to which no other one responds although all count as live. */
class UnheardDaemonTest : AnnotationSpec() {
    private val time = FakeTime()
    private val store = FakeSharedStore(time)
    private val daemons = FakeDaemon.table(DAEMONS).also { table ->
        (1 until DAEMONS).forEach { table.observe(FakeDaemon.info(it), atMillis = Long.MAX_VALUE / 2, direct = true) }
    }
    private val replica = FakeDaemon.replica(daemons, store.client(DAEMONS), time)
    private val testSubject = StoreFollower(
        store = store.client(DAEMONS),
        replica = replica,
        role = ReaderRole(
            daemons = daemons,
            schedule = OutageReadSchedule(turn = { daemons.readTurn(time.nowMillis()) }, random = Random(1)),
        ),
        thread = time.thread,
        metrics = ForwardMetrics(),
        log = EventLogs(time).forComponent("store"),
    )

    override fun isolationMode() = IsolationMode.InstancePerTest

    @Before
    fun start() {
        StoreTopic.entries.forEach { store.append(it) }
        hearOthers()
    }

    // Guards against a daemon that waits for its turn among others that it doesn't hear, which may be the last.
    @Test
    fun `a daemon that hears nobody knows a change soon`() {
        val endOffset = store.append(StoreTopic.OPERATOR)
        testSubject.readUnheard()

        advance(SOON_MILLIS)

        replica.endOffset(StoreTopic.OPERATOR) shouldBe endOffset
    }

    @Test
    fun `a daemon that hears nobody reads as often as the one that reads for all in calm`() {
        val before = store.calls

        hearNobodyFor(LONG_MILLIS)

        store.calls - before shouldBeAtMost CALM_CALLS
        replica.ageMillis(StoreTopic.OPERATOR) shouldBeAtMost READING_MILLIS
    }

    // Guards against many daemons that ask a store in vain since they hear nobody.
    @Test
    fun `a daemon that hears nobody and that the store refuses asks no more often than before`() {
        store.refuses = { true }
        val before = store.calls

        hearNobodyFor(LONG_MILLIS)

        store.calls - before shouldBeAtMost CALM_CALLS
    }

    @Test
    fun `a daemon that hears the others again leaves reading to them`() {
        hearNobodyFor(LONG_MILLIS)
        hearOthers()
        val before = store.calls

        hearOthers()

        store.calls shouldBe before
    }

    private fun hearNobodyFor(millis: Long) = (1..millis / SYNC_MILLIS).forEach { _ ->
        testSubject.readUnheard()
        advance(SYNC_MILLIS)
    }

    private fun hearOthers() = (1..CALM_MILLIS / TICK_MILLIS).forEach { _ ->
        StoreTopic.entries.forEach {
            val batch = RecordBatch(records = emptyList(), complete = false, endOffset = replica.endOffset(it))
            replica.merge(it, batch, ageMillis = 0, source = "vm-1")
        }
        advance(TICK_MILLIS)
    }

    private fun advance(millis: Long) = (1..millis / TICK_MILLIS).forEach { _ ->
        time.advance(TICK_MILLIS)
        testSubject.tick()
    }

    private companion object {
        const val DAEMONS = 6
        const val TICK_MILLIS = 100L
        const val SYNC_MILLIS = 400L
        const val CALM_MILLIS = 2_000L
        const val LONG_MILLIS = 20_000L

        /** The call itself takes less than a tick. */
        const val SOON_MILLIS = 100L

        /** In 20 s: two topics twice a second and one once. */
        const val CALM_CALLS = 100

        /** A read each 0.5 to 0.7 s, at a tick. */
        const val READING_MILLIS = 800L
    }
}
