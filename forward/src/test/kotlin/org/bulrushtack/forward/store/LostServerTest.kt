package org.bulrushtack.forward.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.fleet.BackendServerEntry
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeSharedStore
import org.bulrushtack.forward.testing.FakeTime

/** Merges records of a backend server that this daemon has found to be no longer at its address. */
class LostServerTest : AnnotationSpec() {
    private val entry = BackendServerEntry(
        id = "i-1",
        service = "plain",
        address = "10.1.0.1:80",
        dataCentre = "a",
        slots = 1,
        leaving = false,
        coldMillis = 0,
        startedAtMillis = 1,
    )
    private val time = FakeTime()
    private val table = FakeDaemon.table(0)
    private val state = FakeDaemon.state(table)
    private val testSubject = FakeDaemon.replica(
        table,
        FakeSharedStore(time).client(0),
        time,
        state,
        decoder = { _, _ -> StoreUpdate.ServerUpdated(entry) },
    )

    private fun merge(offset: Long, ageMillis: Long) = testSubject.merge(
        topic = StoreTopic.BACKEND_SERVERS,
        batch = RecordBatch(
            records = listOf(StoreRecord(key = entry.id, offset = offset, value = byteArrayOf(1))),
            complete = false,
            endOffset = offset + 1,
        ),
        ageMillis = ageMillis,
        source = "vm",
    )

    @Test
    fun `a lost server is used again after an entry that was read since, not after one that was read before`() {
        merge(offset = 0, ageMillis = 0)
        time.advance(MILLIS)
        state.fleet.markLost(entry.id, time.nowMillis())
        time.advance(MILLIS)

        merge(offset = 1, ageMillis = MILLIS + 1)
        state.fleet.usable(entry.id, time.nowMillis()) shouldBe null

        merge(offset = 2, ageMillis = MILLIS - 1)
        state.fleet.usable(entry.id, time.nowMillis())?.entry shouldBe entry
    }

    private companion object {
        const val MILLIS = 300L
    }
}
