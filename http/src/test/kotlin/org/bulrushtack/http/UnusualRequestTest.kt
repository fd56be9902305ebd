package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith

/** Requests that proper callers rarely send; each that is read whole is answered. */
class UnusualRequestTest : AnnotationSpec() {
    private lateinit var fixture: ServerFixture

    @BeforeEach
    fun startServer() {
        fixture = ServerFixture()
    }

    @AfterEach
    fun stopServer() {
        fixture.close()
    }

    private fun responses(request: String): String = fixture.caller().use { caller ->
        caller.send(request)
        caller.send("GET /now-last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        caller.readAll()
    }

    private fun bodies(responses: String) = Regex("<[^>]*>").findAll(responses).map { it.value }.toList()

    // Guards against requests whose target can't be decoded, which lost their connection without a response.
    @Test
    fun `a target with a lone percent sign is passed on as it is`() {
        bodies(responses("GET /now-100%/%zz?share=5% HTTP/1.1\r\nHost: a\r\n\r\n")) shouldContainExactly
            listOf("</now-100%/%zz?share=5%>", "</now-last>")
    }

    @Test
    fun `chunked bodies with trailers are answered`() {
        val head = "POST /now HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

        val responses = responses("${head}3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n")

        bodies(responses) shouldContainExactly listOf("</now>", "</now-last>")
    }

    // Guards against a continuation inside another response, which broke that off.
    @Test
    fun `a continuation is sent only when all earlier requests are answered`() {
        fixture.caller().use { caller ->
            caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
            val stream = fixture.handler.next().stream(status = 200, contentType = "text/plain")
            stream.write("<1>".toByteArray())
            caller.send("POST /now-second HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n")
            caller.send("Connection: close\r\n\r\n")
            fixture.awaitRead()
            stream.write("<2>".toByteArray())
            stream.end()
            caller.readUntil("100 Continue")
            caller.send("abc")

            caller.readAll() shouldEndWith "</now-second>"
        }
    }

    // Guards against requests whose response can't be sent, which stayed without any.
    @Test
    fun `a response with a malformed header is replaced by an error`() {
        fixture.caller().use { caller ->
            caller.send("GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            val headers = HttpHeaderList().with(name = "x-two-lines", value = "a\r\nb")
            fixture.handler.next().respond(HttpMessageResponse(status = 200, headers = headers))

            val response = caller.readAll()

            response shouldStartWith "HTTP/1.1 500"
            response shouldContain "HANDLER_FAILED"
        }
    }
}
