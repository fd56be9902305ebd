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

    private companion object {
        const val DRAWS = 50
    }
}
