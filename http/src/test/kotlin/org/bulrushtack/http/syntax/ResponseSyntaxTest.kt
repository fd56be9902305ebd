package org.bulrushtack.http.syntax

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled

/** Reads responses that arrive in two parts, however they are split. */
class ResponseSyntaxTest : AnnotationSpec() {
    /** Reads [parts]; returns how many bytes were accepted, the broken rule and whether the response is complete. */
    private fun read(vararg parts: String): Triple<Int, ResponseRule?, Boolean> {
        val testSubject = ResponseSyntax()
        testSubject.expectResponse(isHeadRequest = false)
        val accepted = parts.sumOf { testSubject.read(Unpooled.copiedBuffer(it.toByteArray())) }
        return Triple(accepted, testSubject.brokenRule, testSubject.isComplete)
    }

    @Test
    fun `the end of a response is found wherever it is split, and what follows it is left`() {
        val chunks = "4;a=b\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n"
        val responses = listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$chunks",
            "HTTP/1.1 204 No Content\r\nX-Folded: a\r\n b\r\n\r\n",
        )
        responses.forEach { response ->
            val bytes = response + "HTTP/1.1 200 OK\r\n\r\n"
            (0..bytes.length).forEach { split ->
                withClue(bytes.take(split)) {
                    read(bytes.take(split), bytes.drop(split)) shouldBe Triple(response.length, null, true)
                }
            }
        }
    }

    @Test
    fun `a broken rule is found wherever the response is split, and nothing after the breach is accepted`() {
        val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        val responses = mapOf(
            "HTTP/1.1 000 \r\n\r\n" to ResponseRule.STATUS_LINE,
            "HTTP/1.1 200 OK\nX-A: a\r\n\r\n" to ResponseRule.LINE_END,
            "${head}X Bad: 1\r\n\r\n" to ResponseRule.FIELD_NAME,
            "${head}X-Bad: \u0001\r\n\r\n" to ResponseRule.FIELD_VALUE,
            "$head X-Bad: 1\r\n\r\n" to ResponseRule.FOLDED_LINE,
            "${head}Content-Length: 4\r\n\r\nbody" to ResponseRule.FRAMING,
            "$head\r\n4\r\nbody-\r\n" to ResponseRule.CHUNK,
            "$head\r\n4\r\nbody\r\n0\r\nX Bad: 1\r\n\r\n" to ResponseRule.FIELD_NAME,
            "${head}X-Long: ${"x".repeat(LONG_LINE)}\r\n" to ResponseRule.LINE_LENGTH,
        )
        responses.forEach { (response, rule) ->
            (0..minOf(response.length, LAST_SPLIT)).forEach { split ->
                withClue("$rule: ${response.take(split)}") {
                    val (accepted, brokenRule, isComplete) = read(response.take(split), response.drop(split))

                    brokenRule shouldBe rule
                    isComplete shouldBe false
                    (accepted < response.length) shouldBe true
                }
            }
        }
    }

    private companion object {
        const val LONG_LINE = 20_000
        const val LAST_SPLIT = 100
    }
}
