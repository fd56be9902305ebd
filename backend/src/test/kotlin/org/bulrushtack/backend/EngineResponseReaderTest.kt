package org.bulrushtack.backend

import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import io.kotest.assertions.throwables.shouldThrowAny
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.backend.EngineListener
import org.bulrushtack.core.error.Problem
import org.bulrushtack.http.HttpFailure
import org.bulrushtack.http.HttpHeaderList

class EngineResponseReaderTest : AnnotationSpec() {
    private val ends = mutableListOf<String>()

    // Guards against a completion that never ends, since its reader counts as finished before it has read the event.
    @Test
    fun `a malformed event ends a completion as lost`() {
        val events = listOf(
            """{"choices":[{"text":"a","finish_reason":null}],"offset":"x","tokens":1}""",
            """{"choices":[{"text":"a","finish_reason":null}],"offset":0}""",
            """{"choices":[{"text":"a","finish_reason":"stop"}],"total_tokens":"x"}""",
            """{"choices":[{"text":"a","finish_reason":"stop"}]}""",
            """{"choices":[]}""",
            "no JSON",
        )
        events.forEach { event ->
            ends.clear()
            val testSubject = EngineResponseReader(mapper = jacksonObjectMapper(), listener = EndRecorder())
            testSubject.onHead(status = 200, headers = HttpHeaderList())

            shouldThrowAny { testSubject.onData("data: $event\n\n".toByteArray()) }
            testSubject.onFailure(HttpFailure(sent = true, reason = "the listener failed"))

            ends shouldBe listOf("lost")
        }
    }

    private inner class EndRecorder : EngineListener {
        override fun onAccepted(incarnation: String) = Unit

        override fun onChunk(offset: Long, tokens: Long, text: String) = Unit

        override fun onFinished(totalTokens: Long, reason: String, incarnation: String?) {
            ends.add("finished")
        }

        override fun onRejected(problem: Problem, incarnation: String?) {
            ends.add("rejected")
        }

        override fun onNotSent(detail: String) {
            ends.add("not sent")
        }

        override fun onLost(detail: String, incarnation: String?) {
            ends.add("lost")
        }
    }
}
