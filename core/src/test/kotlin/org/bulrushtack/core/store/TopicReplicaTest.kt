package org.bulrushtack.core.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class TopicReplicaTest : AnnotationSpec() {
    private fun record(key: String, offset: Long, value: String? = "v$offset") =
        StoreRecord(key = key, offset = offset, value = value?.toByteArray())

    private fun batch(
        vararg records: StoreRecord,
        complete: Boolean = false,
        end: Long = records.maxOf { it.offset } + 1,
    ) = RecordBatch(records = records.toList(), complete = complete, endOffset = end)

    @Test
    fun `a record that is older than the replicated one of its key is ignored`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("config", 5)))

        testSubject.merge(batch(record("config", 3))).size shouldBe 0
        testSubject.endOffset shouldBe 6
    }

    // Guards against a daemon that falls further behind as it applies each of the configurations that it has missed.
    @Test
    fun `only the newest record of each key of a batch counts as new`() {
        val records = listOf(record("config", 3), record("config", 1), record("evacuate/a", 2))

        val changed = TopicReplica().merge(batch(*records.toTypedArray()))

        changed.map { it.offset } shouldContainExactlyInAnyOrder listOf(2L, 3L)
    }

    @Test
    fun `a key that is missing from a complete batch is deleted`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("a", 0), record("b", 1)))

        val changed = testSubject.merge(batch(record("a", 0), complete = true, end = 4))

        changed.map { it.key to it.value } shouldBe listOf("b" to null)
    }

    @Test
    fun `a key that was written after a complete batch was read is not deleted by it`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("a", 0), record("b", 9)))

        testSubject.merge(batch(record("a", 0), complete = true, end = 4)).size shouldBe 0
    }

    @Test
    fun `a peer gets the records that it lacks, and a peer without any gets a complete batch`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("a", 4), complete = true, end = 5))
        testSubject.merge(batch(record("b", 5), record("a", 6, value = null)))

        testSubject.since(5)?.records?.map { it.key }.orEmpty() shouldContainExactlyInAnyOrder listOf("a", "b")
        testSubject.since(-1)?.complete shouldBe true
        testSubject.since(-1)?.records?.map { it.key } shouldBe listOf("b")
        testSubject.since(7) shouldBe null
    }

    // Guards against a peer that keeps the entry of a server that is gone: the replica got over the records of its
    // entry and of its removal with a list of all keys, so that it holds no record of the removal to pass on.
    @Test
    fun `a peer learns of a key that was deleted among records that the replica got over`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("a", 0), complete = true, end = 1))
        val peer = TopicReplica()
        peer.merge(batch(record("a", 0), record("b", 1), complete = true, end = 2))

        testSubject.merge(batch(record("a", 0), complete = true, end = 3))
        val changed = testSubject.since(peer.endOffset)?.let { peer.merge(it) }.orEmpty()

        changed.map { it.key to it.value } shouldBe listOf("b" to null)
    }

    @Test
    fun `daemons that exchange batches in any order converge on the store and never return to older records`() {
        repeat(DRAWS) { draw ->
            val random = Random(draw)
            val log = List(40) { offset ->
                record("k${random.nextInt(5)}", offset.toLong(), if (random.nextInt(4) == 0) null else "v$offset")
            }
            val daemons = List(3) { TopicReplica() }
            val seen = List(3) { HashMap<String, Long>() }

            repeat(200) {
                val reader = random.nextInt(3)
                val source = daemons[random.nextInt(3)]
                val offset = daemons[reader].endOffset
                val fromStore = RecordBatch(
                    records = log.filter { it.offset >= offset }.take(7),
                    complete = false,
                    endOffset = minOf(40, maxOf(0, offset) + 7),
                )
                val batch = if (random.nextBoolean()) fromStore else source.since(offset)
                batch?.let { daemons[reader].merge(it) }?.forEach { changed ->
                    check((seen[reader][changed.key] ?: -1) < changed.offset) { "draw $draw: ${changed.key} reverted" }
                    seen[reader][changed.key] = changed.offset
                }
            }

            val newest = log.groupBy { it.key }.mapValues { (_, records) -> records.last().offset }
            daemons.zip(seen).filter { it.first.endOffset == 40L }.forEach { it.second shouldBe newest }
        }
    }

    // Guards against daemons that follow nothing after the store came back from an older copy until it has grown again.
    @Test
    fun `the whole topic of a later era replaces one that ends later`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("config", 0), record("config", 8), complete = true).copy(era = 1))

        val changed = testSubject.merge(batch(record("config", 3, "again"), complete = true).copy(era = 2))

        changed.map { it.offset } shouldBe listOf(3L)
        testSubject.endOffset shouldBe 4
        testSubject.era shouldBe 2
    }

    @Test
    fun `records of a later era change nothing until the whole topic is read`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("config", 4), complete = true).copy(era = 1))

        testSubject.merge(batch(record("config", 5)).copy(era = 2)).size shouldBe 0

        testSubject.endOffset shouldBe 5
        testSubject.needsWhole shouldBe true
    }

    @Test
    fun `a late batch of an earlier era changes nothing`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("config", 2), complete = true).copy(era = 2))

        testSubject.merge(batch(record("config", 9), complete = true).copy(era = 1)).size shouldBe 0

        testSubject.endOffset shouldBe 3
    }

    @Test
    fun `a key that the older copy lacks counts as deleted`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("a", 0), record("b", 7), complete = true).copy(era = 1))

        val changed = testSubject.merge(batch(record("a", 0), complete = true).copy(era = 2))

        changed.map { it.key to it.value } shouldBe listOf("b" to null)
    }

    @Test
    fun `a peer of an earlier era gets the whole topic, and one of a later era nothing`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("a", 4), complete = true).copy(era = 2))

        testSubject.since(offset = 9, peerEra = 1)?.complete shouldBe true
        testSubject.since(offset = 1, peerEra = 3) shouldBe null
        testSubject.since(offset = 9, peerEra = null) shouldBe null
    }

    @Test
    fun `a store that names no era is followed where it ends before what was read`() {
        val testSubject = TopicReplica()
        testSubject.merge(batch(record("config", 8), complete = true))

        testSubject.merge(batch(record("config", 3, "again"), complete = true).copy(isRestored = true))
        val changed = testSubject.merge(batch(record("config", 4)))

        changed.map { it.offset } shouldBe listOf(4L)
    }

    @Test
    fun `daemons converge on a store that came back from older copies, whatever the order of their batches`() {
        repeat(DRAWS) { draw ->
            val random = Random(draw)
            val store = RestoredStore(random)
            val daemons = List(3) { TopicReplica() }

            repeat(200) {
                when (random.nextInt(6)) {
                    0 -> store.write()
                    1 -> if (random.nextInt(8) == 0) store.restore()
                    2, 3 -> daemons.random(random).let { it.merge(store.read(it)) }
                    else -> {
                        val (target, source) = daemons.shuffled(random)
                        source.since(target.endOffset, target.era)?.let { target.merge(it) }
                    }
                }
            }
            repeat(2) { daemons.forEach { it.merge(store.read(it)) } }

            daemons.forEach { daemon ->
                val known = checkNotNull(daemon.since(offset = -1)).records.associate { it.key to it.offset }
                known shouldBe store.newest().associate { it.key to it.offset }
            }
        }
    }

    /** A store of one topic that goes back to a random older state, with a later era. */
    private inner class RestoredStore(
        private val random: Random,
    ) {
        private val log = ArrayList<StoreRecord>()
        private var era = 1L

        fun write() {
            val value = "v${random.nextInt()}".takeIf { random.nextInt(4) > 0 }
            log.add(record("k${random.nextInt(5)}", log.size.toLong(), value))
        }

        fun restore() {
            repeat(random.nextInt(log.size + 1)) { log.removeLast() }
            era += 1
        }

        fun newest(): List<StoreRecord> = log.associateBy { it.key }.values.filter { it.value != null }

        /** As the client of the store reads: records from the end of [replica] on, or else all. */
        fun read(replica: TopicReplica): RecordBatch {
            val from = replica.endOffset
            val isWhole = from < 0 || from > log.size || replica.needsWhole
            return RecordBatch(
                records = if (isWhole) newest() else log.drop(from.toInt()),
                complete = isWhole,
                endOffset = log.size.toLong(),
                era = era,
            )
        }
    }

    private companion object {
        const val DRAWS = 50
    }
}
