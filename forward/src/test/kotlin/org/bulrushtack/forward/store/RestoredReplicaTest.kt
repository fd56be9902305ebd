package org.bulrushtack.forward.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.route.CallerLimits
import org.bulrushtack.core.route.RoutingConfiguration
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreRecord
import org.bulrushtack.core.store.StoreRecordDecoder
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.StoreUpdate
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeSharedStore
import org.bulrushtack.forward.testing.FakeTime

/** Merges records of a store that came back from an older copy, in which offsets are given out again. */
class RestoredReplicaTest : AnnotationSpec() {
    private lateinit var time: FakeTime
    private lateinit var state: ForwardState
    private lateinit var testSubject: StoreReplica

    @BeforeEach
    fun setUp() {
        time = FakeTime()
        val table = FakeDaemon.table(0)
        state = FakeDaemon.state(table)
        testSubject = FakeDaemon.replica(table, FakeSharedStore(time).client(0), time, state, DECODER)
    }

    private val version: Long? get() = state.routing?.configuration?.version

    private fun usable(id: String) = state.fleet.usable(id, time.nowMillis()) != null

    private fun merge(
        era: Long,
        vararg records: StoreRecord,
        topic: StoreTopic = StoreTopic.OPERATOR,
        endOffset: Long = records.maxOfOrNull { it.offset + 1 } ?: 0,
        complete: Boolean = true,
    ) = testSubject.merge(
        topic = topic,
        batch = RecordBatch(records = records.toList(), complete = complete, endOffset = endOffset, era = era),
        ageMillis = 0,
        source = "store",
    )

    private fun server(id: String, offset: Long, sequence: Int = 1, isLeaving: Boolean = false) =
        record(id, offset, "$sequence ${if (isLeaving) LEAVING else "ready"}")

    // Guards against daemons that go on by the configuration of before until the topic has grown past its old end.
    @Test
    fun `a configuration that is written at an offset given out again is applied`() {
        merge(1, record("config", 8, "9"))
        merge(2, record("config", 3, "9"))

        merge(2, record("config", 4, "10"), complete = false)

        version shouldBe 10
    }

    // Guards against a revoked key or a removed route that comes back with the copy.
    @Test
    fun `an older copy brings back no older configuration`() {
        merge(1, record("config", 8, "9"))

        merge(2, record("config", 3, "4"))

        version shouldBe 9
    }

    // Guards against a daemon that takes its old records for fresh ones, so that nothing is read in its place.
    @Test
    fun `records of a later era that don't cover the topic don't renew the age of the replica`() {
        merge(1, record("config", 8, "9"))
        time.advance(PAUSE_MILLIS)

        merge(2, record("config", 12, "10"), complete = false)

        testSubject.ageMillis(StoreTopic.OPERATOR) shouldBe PAUSE_MILLIS
        testSubject.needsWhole(StoreTopic.OPERATOR) shouldBe true
    }

    // Guards against requests to a server that has left and that the older copy still lists.
    @Test
    fun `a backend server that is gone isn't used because an older copy lists it`() {
        merge(1, server("i-1", 5, sequence = 7), topic = StoreTopic.BACKEND_SERVERS)
        merge(1, StoreRecord("i-1", 6, null), topic = StoreTopic.BACKEND_SERVERS, complete = false)

        merge(2, server("i-1", 2, sequence = 3), topic = StoreTopic.BACKEND_SERVERS)

        usable("i-1") shouldBe false
    }

    @Test
    fun `a backend server that writes its entry again after it was removed is used`() {
        merge(1, server("i-1", 5, sequence = 7), topic = StoreTopic.BACKEND_SERVERS)
        merge(1, StoreRecord("i-1", 6, null), topic = StoreTopic.BACKEND_SERVERS, complete = false)

        merge(2, server("i-1", 2, sequence = 8), topic = StoreTopic.BACKEND_SERVERS)

        usable("i-1") shouldBe true
    }

    // Guards against requests to the address of an earlier lifetime, which another server may have by now.
    @Test
    fun `an older copy brings back no earlier entry of a backend server`() {
        merge(1, server("i-1", 5, sequence = 7), topic = StoreTopic.BACKEND_SERVERS)

        merge(2, server("i-1", 2, sequence = 3), topic = StoreTopic.BACKEND_SERVERS)

        state.fleet.usable("i-1", time.nowMillis())?.entry?.sequence shouldBe 7
    }

    @Test
    fun `a backend server that leaves goes on leaving although an older copy lists it as ready`() {
        merge(1, server("i-1", 5, isLeaving = true), topic = StoreTopic.BACKEND_SERVERS)

        merge(2, server("i-1", 2), topic = StoreTopic.BACKEND_SERVERS)

        usable("i-1") shouldBe false
    }

    @Test
    fun `a backend server that the older copy lacks is used until it should have written its entry again`() {
        merge(1, server("i-1", 5), topic = StoreTopic.BACKEND_SERVERS)

        merge(2, topic = StoreTopic.BACKEND_SERVERS, endOffset = 2)

        usable("i-1") shouldBe true
        time.advance(REWRITE_MILLIS)
        usable("i-1") shouldBe false
    }

    // Guards against requests to a data centre that was taken out shortly before the store came back.
    @Test
    fun `a data centre stays out for a while although the older copy lacks its record`() {
        merge(1, record("config", 0, "1"), record("evacuate/a", 5, "out"))

        merge(2, record("config", 0, "1"))
        val isOutAtFirst = isTakenOut()
        time.advance(REWRITE_MILLIS)
        merge(2, endOffset = 1, complete = false)
        isTakenOut() shouldBe true
        time.advance(HOLD_MILLIS)
        merge(2, endOffset = 1, complete = false)

        isOutAtFirst shouldBe true
        isTakenOut() shouldBe false
    }

    @Test
    fun `a data centre whose record is written again stays out`() {
        merge(1, record("config", 0, "1"), record("evacuate/a", 5, "out"))
        merge(2, record("config", 0, "1"))

        merge(2, record("evacuate/a", 1, "out"), complete = false)
        time.advance(HOLD_MILLIS)
        merge(2, endOffset = 2, complete = false)

        isTakenOut() shouldBe true
    }

    private fun isTakenOut(): Boolean {
        merge(era = 2, server("i-probe", 0), topic = StoreTopic.BACKEND_SERVERS)
        return !usable("i-probe")
    }

    private companion object {
        const val PAUSE_MILLIS = 3_000L
        const val LEAVING = "leaving"

        /** Live servers are back about two seconds after the store. */
        const val REWRITE_MILLIS = 2_300L
        const val HOLD_MILLIS = 10_000L

        fun record(key: String, offset: Long, value: String) = StoreRecord(key, offset, value.toByteArray())

        val DECODER = StoreRecordDecoder { topic, record ->
            val text = record.value?.decodeToString()
            when {
                topic == StoreTopic.BACKEND_SERVERS && text == null -> StoreUpdate.ServerRemoved(record.key)
                topic == StoreTopic.BACKEND_SERVERS -> serverUpdate(record.key, checkNotNull(text))
                record.key.startsWith("evacuate/") ->
                    StoreUpdate.DataCentre(record.key.substringAfter('/'), takenOut = text != null)
                text == null -> StoreUpdate.Irrelevant
                else -> StoreUpdate.Configuration(configuration(text.toLong()))
            }
        }

        fun serverUpdate(id: String, text: String): StoreUpdate {
            val (sequence, state) = text.split(' ')
            val entry = FakeDaemon.serverEntry(id)
            return StoreUpdate.ServerUpdated(entry.copy(sequence = sequence.toLong(), leaving = state == LEAVING))
        }

        fun configuration(version: Long) = RoutingConfiguration(
            version = version,
            routes = emptyList(),
            services = emptyList(),
            limits = CallerLimits(),
            workspaces = null,
        )
    }
}
