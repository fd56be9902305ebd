package org.bulrushtack.forward.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.RecordBatch
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeRecordStore
import org.bulrushtack.forward.testing.FakeTime

class SyncTargetsTest : AnnotationSpec() {
    private val time = FakeTime()

    /** The numbers of the daemons that daemon [self] of [count] chooses while those in [unreadable] can't read. */
    private fun chosen(
        self: Int,
        unreadable: Set<Int>,
        count: Int = DAEMONS,
        choose: SyncTargets.() -> Collection<String>,
    ): List<Int> {
        val daemons = FakeDaemon.table(self)
        (1..count).forEach {
            val info = FakeDaemon.info(it).copy(storeUnreadable = it in unreadable)
            daemons.observe(info, atMillis = 0, direct = true)
        }
        if (self in unreadable) daemons.self = daemons.self.copy(storeUnreadable = true)
        val replica = FakeDaemon.replica(daemons, FakeRecordStore(), time)
        val batch = RecordBatch(records = emptyList(), complete = true, endOffset = 0)
        StoreTopic.entries.forEach { replica.merge(it, batch, ageMillis = 0, source = "vm-1") }
        val testSubject = SyncTargets(daemons, replica, ProbeSchedule())
        return testSubject.choose().map { it.substringAfter("10.0.0.").substringBefore(':').toInt() }.sorted()
    }

    @Test
    fun `a daemon tells the leaders and the next three that can read the store`() {
        chosen(self = 1, unreadable = setOf(1, 4)) { readers(0).map { it.peerAddress } } shouldBe listOf(2, 3, 5, 6)
    }

    @Test
    fun `a substitute passes records on to the leaders and the daemons near to it`() {
        chosen(self = 3, unreadable = setOf(1, 2)) { receivers(0).map { it.peerAddress } } shouldBe
            listOf(1, 2, 4, 5, 6, 7)
    }

    // Guards against a reader whose records reach the others only by way of the leaders, which may fail as well.
    @Test
    fun `each daemon syncs with the leaders and with the daemon that reads for all`() {
        synced(self = 7, unreadable = setOf(1, 2)) shouldBe listOf(1, 2, 3)
        synced(self = 1, unreadable = setOf(1, 2, 3)) shouldBe listOf(2, 4)
        synced(self = 7, unreadable = setOf(1)) shouldBe listOf(1, 2)
        synced(self = 3, unreadable = setOf(1, 2)) shouldBe listOf(1, 2)
        synced(self = 7, unreadable = emptySet()) shouldBe listOf(1, 2)
        synced(self = 7, unreadable = (1..DAEMONS).toSet()) shouldBe listOf(1, 2)
    }

    // Guards against an outage in which every daemon connects to one after the other down the rank.
    @Test
    fun `a reader after many daemons that can't read the store gets no sync of every daemon`() {
        chosen(self = MANY, unreadable = (1..11).toSet(), count = MANY) { due(0) } shouldBe listOf(1, 2, 12)
        chosen(self = MANY, unreadable = (1..12).toSet(), count = MANY) { due(0) } shouldBe listOf(1, 2)
    }

    private fun synced(self: Int, unreadable: Set<Int>) = chosen(self, unreadable) { due(0) }

    private companion object {
        const val DAEMONS = 7
        const val MANY = 30
    }
}
