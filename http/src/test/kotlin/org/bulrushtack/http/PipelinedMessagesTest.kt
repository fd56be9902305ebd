package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith

/** Callers that send bodies behind a request which is not answered yet. */
class PipelinedMessagesTest : AnnotationSpec() {
    private lateinit var fixture: ServerFixture

    @BeforeEach
    fun startServer() {
        fixture = ServerFixture()
    }

    @AfterEach
    fun stopServer() {
        fixture.close()
    }

    // Guards against a process that runs out of memory by bodies which no limit counts.
    @Test
    fun `what is held behind a request is bounded and counts as memory of bodies`() {
        val memory = BodyMemory()
        fixture.limits = HttpLimits(memory = memory)
        val callers = List(CALLERS) { fixture.caller() }
        val body = "x".repeat(BODY_BYTES)

        callers.forEach { caller ->
            caller.get("/first")
            caller.send("POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: $BODY_BYTES\r\n\r\n$body")
        }
        val exchanges = List(CALLERS) { fixture.handler.next() }
        fixture.awaitRead()
        memory.reservedBytes shouldBeInRange 1L..CALLERS * MAXIMUM_BYTES_EACH
        exchanges.forEach { fixture.handler.respond(it) }
        callers.forEach { it.readUntil("</now>") }
        callers.forEach { it.close() }

        repeat(2) { fixture.awaitRead() }
        memory.reservedBytes shouldBe 0
    }

    @Test
    fun `a caller that leaves is noticed while its request runs, with a request behind it`() {
        fixture.caller().use { caller ->
            caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /now HTTP/1.1\r\nHost: a\r\n\r\n")
            fixture.handler.next()
        }

        fixture.nextEnd().cause shouldBe ConnectionEndCause.PEER
    }

    @Test
    fun `a malformed chunk behind a request is refused after its response`() {
        fixture.caller().use { caller ->
            val head = "POST /now HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n${head}3\r\nabc\r\nno size\r\n")
            fixture.handler.respond(fixture.handler.next())
            caller.readUntil("</first>")

            caller.readAll() shouldEndWith "MALFORMED"
        }
    }

    private companion object {
        const val CALLERS = 300
        const val BODY_BYTES = 300_000

        /** Keeps a process within its memory with a thousand such callers, in bytes. */
        const val MAXIMUM_BYTES_EACH = 65_536L
    }
}
