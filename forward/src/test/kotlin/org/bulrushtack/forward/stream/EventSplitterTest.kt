package org.bulrushtack.forward.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class EventSplitterTest : AnnotationSpec() {
    private val stream = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: a comment\n\nid:3\ndata: half"

    @Test
    fun `events come out whole, with their ids, however the bytes are cut`() {
        repeat(DRAWS) { draw ->
            val random = Random(draw)
            val testSubject = EventSplitter()
            val events = mutableListOf<ServerEvent>()
            var rest = stream.toByteArray()

            while (rest.isNotEmpty()) {
                val size = 1 + random.nextInt(rest.size)
                events += testSubject.feed(rest.copyOf(size))
                rest = rest.copyOfRange(size, rest.size)
            }

            events.map { it.id } shouldBe listOf("1", "2", null)
            val whole = events.joinToString("") { it.bytes.decodeToString() }
            whole + testSubject.takeRest().decodeToString() shouldBe stream
        }
    }

    @Test
    fun `an event that is broken off stays behind`() {
        val testSubject = EventSplitter()

        testSubject.feed("id: 1\ndata: on".toByteArray()).size shouldBe 0

        testSubject.takeRest().decodeToString() shouldBe "id: 1\ndata: on"
    }

    private companion object {
        const val DRAWS = 50
    }
}
