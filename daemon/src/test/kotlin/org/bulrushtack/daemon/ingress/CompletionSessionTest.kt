package org.bulrushtack.daemon.ingress

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.request.CompletionRequest

class CompletionSessionTest : AnnotationSpec() {
    private val request = CompletionRequest(
        id = "request",
        workspace = "dock",
        model = "atlas",
        promptTokens = 10,
        maximumTokens = 4,
        receivedAtMillis = 0,
        deadlineAtMillis = 60_000,
    )
    private lateinit var writer: FakeCompletionWriter
    private lateinit var observer: FakeSessionObserver
    private lateinit var testSubject: CompletionSession
    private var nowMillis = 0L

    @BeforeEach
    fun createSession() {
        nowMillis = 0
        writer = FakeCompletionWriter()
        observer = FakeSessionObserver()
        testSubject = CompletionSession(request, ByteArray(0), writer, { nowMillis }, observer)
    }

    @Test
    fun `a completion is written once and in order`() {
        val sink = testSubject.startAttempt(1)

        sink.chunk(offset = 0, tokens = 2, text = "a b ")
        sink.chunk(offset = 2, tokens = 2, text = "c d ")
        sink.finished(totalTokens = 4, reason = "length")

        writer.text shouldBe "a b c d "
        writer.finished shouldBe true
        observer.failedAttempts.shouldBeEmpty()
    }

    @Test
    fun `a duplicate chunk is dropped and a missing chunk fails the attempt`() {
        val sink = testSubject.startAttempt(1)

        sink.chunk(offset = 0, tokens = 2, text = "a b ")
        sink.chunk(offset = 0, tokens = 2, text = "a b ")
        sink.chunk(offset = 3, tokens = 1, text = "d ")

        writer.text shouldBe "a b "
        observer.failedAttempts shouldBe listOf(1)
    }

    @Test
    fun `late frames of an abandoned attempt are dropped`() {
        val first = testSubject.startAttempt(1)
        first.chunk(offset = 0, tokens = 1, text = "a ")
        val second = testSubject.startAttempt(2)

        first.chunk(offset = 1, tokens = 1, text = "X ")
        first.finished(totalTokens = 1, reason = "length")
        second.chunk(offset = 1, tokens = 3, text = "b c d ")
        second.finished(totalTokens = 4, reason = "length")

        writer.text shouldBe "a b c d "
        writer.finished shouldBe true
    }

    @Test
    fun `a final frame that counts more tokens than arrived fails the attempt and not the completion`() {
        val sink = testSubject.startAttempt(1)
        sink.chunk(offset = 0, tokens = 1, text = "a ")

        sink.finished(totalTokens = 4, reason = "length")

        writer.finished shouldBe false
        observer.failedAttempts shouldBe listOf(1)
    }

    @Test
    fun `an attempt that has started but sends no chunk times out, an attempt in a queue does not`() {
        val sink = testSubject.startAttempt(1)
        nowMillis = 60_000
        testSubject.checkStall(firstTokenTimeoutMillis = 10_000)
        observer.failedAttempts.shouldBeEmpty()

        sink.started()
        nowMillis = 70_001
        testSubject.checkStall(firstTokenTimeoutMillis = 10_000)

        observer.failedAttempts shouldBe listOf(1)
    }

    @Test
    fun `the lack of chunks while the caller reads slowly is not a stall`() {
        val sink = testSubject.startAttempt(1)
        sink.started()
        sink.chunk(offset = 0, tokens = 1, text = "a ")
        writer.isReady = false
        nowMillis = 30_000
        testSubject.checkStall(firstTokenTimeoutMillis = 10_000)

        writer.isReady = true
        nowMillis = 30_100
        testSubject.checkStall(firstTokenTimeoutMillis = 10_000)

        observer.failedAttempts.shouldBeEmpty()
    }

    @Test
    fun `nothing is written after the completion has ended`() {
        val sink = testSubject.startAttempt(1)
        testSubject.fail(Problem(ErrorKind.DEADLINE_EXCEEDED))

        sink.chunk(offset = 0, tokens = 1, text = "a ")
        testSubject.fail(Problem(ErrorKind.BACKEND_LOST))

        writer.text shouldBe ""
        writer.problems.map { it.kind } shouldBe listOf(ErrorKind.DEADLINE_EXCEEDED)
    }
}
