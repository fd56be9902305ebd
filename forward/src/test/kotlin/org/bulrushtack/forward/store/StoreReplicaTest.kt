package org.bulrushtack.forward.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeRecordStore
import org.bulrushtack.forward.testing.FakeTime

class StoreReplicaTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var testSubject: StoreReplica

    @BeforeEach
    fun setUp() {
        time = FakeTime()
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

    private companion object {
        const val READ_MILLIS = 4L
        const val PAUSE_MILLIS = 3_000L
    }
}
