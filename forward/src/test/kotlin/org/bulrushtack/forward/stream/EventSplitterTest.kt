package org.bulrushtack.forward.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class EventSplitterTest : AnnotationSpec() {
    private val stream = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: a comment\n\nid:3\ndata: half"

    @Test
    fun `events are complete and keep their ids, however the bytes are split`() {
        repeat(DRAWS) { draw ->
            val random = Random(draw)
            val testSubject = EventSplitter()
            val events = mutableListOf<ServerSentEvent>()
            var rest = stream.toByteArray()

            while (rest.isNotEmpty()) {
                val size = 1 + random.nextInt(rest.size)
                events += testSubject.feed(rest.copyOf(size))
                rest = rest.copyOfRange(size, rest.size)
            }

            events.map { it.id } shouldBe listOf("1", "2", null)
            val completed = events.joinToString("") { it.bytes.decodeToString() }
            completed + testSubject.takeRemainder().decodeToString() shouldBe stream
        }
    }

    @Test
    fun `an incomplete event is not returned and stays in the remainder`() {
        val testSubject = EventSplitter()

        testSubject.feed("id: 1\ndata: on".toByteArray()).size shouldBe 0

        testSubject.takeRemainder().decodeToString() shouldBe "id: 1\ndata: on"
    }

    @Test
    fun `a comment is no message, an event with an id or with data is one`() {
        val testSubject = EventSplitter()

        val events = testSubject.feed(": ping\n\n\nid: 1\n\ndata: a\n\n".toByteArray())

        events.map { it.isMessage } shouldBe listOf(false, false, true, true)
    }

    private companion object {
        const val DRAWS = 50
    }

    // Guards against the text of an error that is taken for an event, and against sound events that are refused.
    @Test
    fun `an event is well-formed if its first line is a field, a comment or empty`() {
        val fields = listOf("data: a\u2028b", "id: 1\r\ndata: a", "retry", "x-weight-versions: 3", "\uFEFFid: 1")
        val sound = fields + listOf(": ping", "")
        val malformed = listOf("HTTP/1.1 503 Busy\r\nContent-Length: 0", "{\"error\":\"busy\"}", "upstream error: busy")

        sound.forEach { EventSplitter().feed("$it\n\n".toByteArray()).first().isWellFormed shouldBe true }
        malformed.forEach { EventSplitter().feed("$it\n\n".toByteArray()).first().isWellFormed shouldBe false }
    }
}
