package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly

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

        bodies(responses("${head}3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n")) shouldContainExactly listOf("</now>", "</now-last>")
    }
}
