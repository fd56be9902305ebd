package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith

/** Changes the limits of a server while a connection is kept. */
class ConnectionLimitsTest : AnnotationSpec() {
    private lateinit var fixture: ServerFixture

    @BeforeEach
    fun startServer() {
        fixture = ServerFixture()
    }

    @AfterEach
    fun stopServer() {
        fixture.close()
    }

    private fun post(bytes: Int) =
        "POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: $bytes\r\n\r\n" + "x".repeat(bytes)

    /** Connects with [idleMillis], makes [change] after a response, and returns how long the connection stayed. */
    private fun keptMillis(idleMillis: Long, change: () -> Unit): Long {
        fixture.limits = HttpLimits(idleMillis = idleMillis)
        return fixture.caller().use { caller ->
            caller.get("/now")
            caller.readUntil("</now>")
            val startNanos = System.nanoTime()
            fixture.awaitRead()
            change()
            caller.readAll() shouldBe ""
            (System.nanoTime() - startNanos) / NANOS_PER_MILLI
        }
    }

    // Guards against kept connections that refuse bodies which a new configuration allows.
    @Test
    fun `a larger body limit counts for the next request of a kept connection`() {
        fixture.limits = HttpLimits(bodyBytes = 10)
        fixture.caller().use { caller ->
            caller.send(post(bytes = 10))
            caller.readUntil("</now>")
            fixture.limits = HttpLimits(bodyBytes = 20)
            caller.send(post(bytes = 20))
            caller.readUntil("</now>")
            caller.send(post(bytes = 21))

            caller.readAll() shouldEndWith "BODY_TOO_LARGE"
        }
    }

    // Guards against kept connections that close early although a new configuration lets them stay longer.
    @Test
    fun `a longer idle time counts for a connection that is idle already`() {
        val millis = keptMillis(idleMillis = 300) { fixture.limits = HttpLimits(idleMillis = 1_200) }

        millis shouldBeGreaterThanOrEqual 1_100
    }

    @Test
    fun `a shorter idle time does not cut a connection that is idle already`() {
        val millis = keptMillis(idleMillis = 800) { fixture.limits = HttpLimits(idleMillis = 50) }

        millis shouldBeGreaterThanOrEqual 700
    }

    // Guards against requests that end without a response when their reading fails unexpectedly.
    @Test
    fun `a request whose reading fails unexpectedly gets an error response`() {
        fixture.caller().use { caller ->
            caller.get("/now")
            caller.readUntil("</now>")
            fixture.readLimits = { error("unexpected") }
            caller.get("/now")

            caller.readAll() shouldContain "HANDLER_FAILED"
        }
    }

    // Guards against the same end of a request that was held behind another.
    @Test
    fun `a held request whose reading fails unexpectedly gets an error response`() {
        fixture.caller().use { caller ->
            caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /now HTTP/1.1\r\nHost: a\r\n\r\n")
            val first = fixture.handler.next()
            fixture.readLimits = { error("unexpected") }
            fixture.handler.respond(first)
            caller.readUntil("</first>")

            caller.readAll() shouldContain "HANDLER_FAILED"
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
    }
}
