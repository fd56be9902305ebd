package org.bulrushtack.bench

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.http.HttpHeaderList

class CompletionVerifierTest : AnnotationSpec() {
    private fun outcomeOf(status: Int, body: String): CompletionResult.Outcome? {
        val testSubject = CompletionVerifier(CompletionRequest(prompt = "x", answerTokens = 1, intendedAtNanos = 0))
        testSubject.onHead(status, HttpHeaderList())
        testSubject.onData(body.toByteArray())
        testSubject.onComplete()
        return testSubject.result.getNow(null)?.outcome
    }

    // Guards against a run that waits for ever for a result.
    @Test
    fun `an error response that is no problem document is a lost request`() {
        listOf("", "<html>", "{\"kind\"", "[]").forEach { outcomeOf(502, it) shouldBe CompletionResult.Outcome.LOST }

        outcomeOf(503, """{"kind":"overloaded"}""") shouldBe CompletionResult.Outcome.REFUSED
    }
}
