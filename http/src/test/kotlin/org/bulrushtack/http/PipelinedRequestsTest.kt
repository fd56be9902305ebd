package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class PipelinedRequestsTest : AnnotationSpec() {
    private lateinit var fixture: ServerFixture

    @BeforeEach
    fun startServer() {
        fixture = ServerFixture()
    }

    @AfterEach
    fun stopServer() {
        fixture.close()
    }

    private fun get(path: String) = "GET $path HTTP/1.1\r\nHost: a\r\n\r\n"

    /** The bodies and the announced closes in [responses], in order. */
    private fun summary(responses: String) =
        Regex("<[^>]*>|connection: close|Connection reset").findAll(responses).map { it.value }.toList()

    // Guards against a request that was read behind another and got no response when a closing server answered that.
    @Test
    fun `a closing server answers all requests that it has read and announces the close with the last`() {
        fixture.caller().use { caller ->
            caller.send(get("/first") + get("/now-second") + get("/now-third"))
            val first = fixture.handler.next()

            fixture.handler.isClosing = true
            fixture.handler.respond(first)

            summary(caller.readAll()) shouldBe listOf("</first>", "</now-second>", "connection: close", "</now-third>")
        }
        fixture.endCount shouldBe 0
    }

    // Guards against the same loss where the first request is answered while the second is still being decoded.
    @Test
    fun `requests that arrive together are all answered by a closing server`() {
        fixture.handler.isClosing = true
        fixture.caller().use { caller ->
            caller.send(get("/now-first") + get("/now-second"))

            summary(caller.readAll()) shouldBe listOf("</now-first>", "connection: close", "</now-second>")
        }
    }

    // Guards against the same loss where the body of the second request is still on its way.
    @Test
    fun `a closing server answers a request of which it had read a part`() {
        fixture.caller().use { caller ->
            caller.send(get("/first") + "POST /now-second HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc")
            val first = fixture.handler.next()

            fixture.handler.isClosing = true
            fixture.handler.respond(first)
            caller.send("def")

            summary(caller.readAll()) shouldBe listOf("</first>", "connection: close", "</now-second>")
        }
    }

    // Guards against the same loss behind a stream.
    @Test
    fun `a request behind a stream is answered by a closing server`() {
        fixture.caller().use { caller ->
            caller.send(get("/first") + get("/now-second"))
            val first = fixture.handler.next()

            fixture.handler.isClosing = true
            val stream = first.stream(status = 200, contentType = "text/plain")
            stream.write("<stream>".toByteArray())
            stream.end()

            summary(caller.readAll()) shouldBe listOf("<stream>", "connection: close", "</now-second>")
        }
    }

    // Guards against a request that crossed the head of a stream and got no response when the stream ended.
    @Test
    fun `a request that crosses the head of a stream is answered by a closing server`() {
        fixture.handler.isClosing = true
        fixture.caller().use { caller ->
            caller.send(get("/first"))
            val stream = fixture.handler.next().stream(status = 200, contentType = "text/plain")
            stream.write("<stream>".toByteArray())
            while (caller.socket.getInputStream().available() == 0) Thread.onSpinWait()
            caller.send(get("/now-second"))
            fixture.awaitRead()
            stream.end()

            summary(caller.readAll()) shouldBe listOf("<stream>", "connection: close", "</now-second>")
        }
        fixture.endCount shouldBe 0
    }

    @Test
    fun `a request that arrives after the close was announced is not handled`() {
        fixture.caller().use { caller ->
            caller.send("GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            val stream = fixture.handler.next().stream(status = 200, contentType = "text/plain")
            stream.write("<stream>".toByteArray())
            while (caller.socket.getInputStream().available() == 0) Thread.onSpinWait()
            caller.send(get("/now-second"))
            fixture.awaitRead()
            stream.end()

            summary(caller.readAll()) shouldBe listOf("connection: close", "<stream>")
        }
        fixture.nextEnd().cause shouldBe ConnectionEndCause.ANNOUNCED
    }

    @Test
    fun `nothing is answered behind a request that asks for the close`() {
        fixture.caller().use { caller ->
            caller.send("GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/now-second"))
            fixture.handler.respond(fixture.handler.next())

            summary(caller.readAll()) shouldBe listOf("connection: close", "</first>")
        }
    }
}
