package org.bulrushtack.forward.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.testing.FakeConfiguration
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeRecordStore
import org.bulrushtack.forward.testing.FakeTime

class StoreReplicaTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var state: ForwardState
    private lateinit var testSubject: StoreReplica

    @BeforeEach
    fun setUp() {
        time = FakeTime()
        state = FakeDaemon.state(FakeDaemon.table(number = 1))
        testSubject = FakeDaemon.replica(FakeDaemon.table(number = 1), FakeRecordStore(), time)
    }

    private fun merge(endOffset: Long, reachesEnd: Boolean) = testSubject.merge(
        topic = StoreTopic.OPERATOR,
        batch = RecordBatch(
            records = listOf(StoreRecord(key = "config", offset = endOffset - 1, value = byteArrayOf(1))),
            complete = false,
            endOffset = endOffset,
            reachesEnd = reachesEnd,
        ),
        ageMillis = READ_MILLIS,
        source = "store",
    )

    // Guards against a daemon that passes on old records as fresh ones, so that nobody looks for later ones.
    @Test
    fun `records are used but not fresh if the topic held later ones that couldn't be read`() {
        merge(endOffset = 1, reachesEnd = true)
        time.advance(PAUSE_MILLIS)

        merge(endOffset = 2, reachesEnd = false)

        testSubject.endOffset(StoreTopic.OPERATOR) shouldBe 2
        testSubject.ageMillis(StoreTopic.OPERATOR) shouldBe READ_MILLIS + PAUSE_MILLIS
    }

    @Test
    fun `records up to the end of the topic are as old as their read`() {
        merge(endOffset = 1, reachesEnd = true)
        time.advance(PAUSE_MILLIS)

        merge(endOffset = 3, reachesEnd = true)

        testSubject.ageMillis(StoreTopic.OPERATOR) shouldBe READ_MILLIS
    }

    /** Lets the replica decode records with [decode], merges one and, a sync later, a batch without records. */
    private fun mergeTwice(decode: (StoreRecord) -> StoreUpdate) {
        testSubject = FakeDaemon.replica(
            FakeDaemon.table(number = 1),
            FakeRecordStore(),
            time,
            state = state,
            decoder = { _, record -> decode(record) },
        )
        merge(endOffset = 1, reachesEnd = true)
        time.advance(SYNC_MILLIS)
        val nothing = RecordBatch(records = emptyList(), complete = false, endOffset = 1)
        testSubject.merge(StoreTopic.OPERATOR, nothing, READ_MILLIS, source = "vm-2")
    }

    // Guards against a daemon that uses an old configuration until the next version, since it failed to apply this one.
    @Test
    fun `a record that could not be applied is applied with the next merge`() {
        var tries = 0

        mergeTwice {
            tries += 1
            check(tries > 1) { "the first try fails" }
            StoreUpdate.Configuration(FakeConfiguration.of("/added/"))
        }

        state.routing?.configuration?.version shouldBe 1
        tries shouldBe 2
        testSubject.appliedAgeMillis(StoreTopic.OPERATOR) shouldBe READ_MILLIS
    }

    // Guards against a daemon that calls a route unknown which stands in the configuration that it failed to apply.
    @Test
    fun `a daemon with a record that it could not apply doesn't count as one that knows the topic`() {
        var isFailing = true
        mergeTwice { if (isFailing) error("every try fails") else StoreUpdate.Irrelevant }

        testSubject.appliedAgeMillis(StoreTopic.OPERATOR) shouldBe Long.MAX_VALUE
        testSubject.ageMillis(StoreTopic.OPERATOR) shouldBe READ_MILLIS
        isFailing = false
        merge(endOffset = 2, reachesEnd = true)

        testSubject.appliedAgeMillis(StoreTopic.OPERATOR) shouldBe READ_MILLIS
    }

    @Test
    fun `a record that could not be applied is dropped once there is a later one of its key`() {
        val applied = mutableListOf<Long>()
        mergeTwice { record ->
            check(record.offset > 0) { "the first record fails" }
            applied += record.offset
            StoreUpdate.Irrelevant
        }

        merge(endOffset = 2, reachesEnd = true)
        time.advance(SYNC_MILLIS)
        merge(endOffset = 2, reachesEnd = true)

        applied shouldBe listOf(1L)
    }

    private companion object {
        const val READ_MILLIS = 4L
        const val SYNC_MILLIS = 400L
        const val PAUSE_MILLIS = 3_000L
    }
}
