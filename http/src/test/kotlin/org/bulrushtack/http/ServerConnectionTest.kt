package org.bulrushtack.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

class ServerConnectionTest : AnnotationSpec() {
    private val handler = object : HttpHandler {
        override fun handle(exchange: HttpExchange) {
            check(exchange.request.path != "/fails") { "unexpected" }
            val bodyBytes = if (exchange.request.path == "/large") LARGE_BODY_BYTES else 0
            exchange.respond(HttpMessageResponse(status = 200, body = ByteArray(bodyBytes)))
        }

        override fun errorResponse(error: RequestError) =
            HttpMessageResponse(status = 500, body = "$error".toByteArray())
    }

    @Test
    fun `a handler that fails ends its request alone`() {
        val group = EventLoops.create(threads = 1)
        val limits = HttpLimits()
        val server = HttpServer.start(group, "127.0.0.1", port = 0, limits = { limits }, handler = handler)
        val client = HttpClient(group)
        val call = { path: String ->
            val request = ClientRequest(method = "GET", address = "127.0.0.1:${server.port}", path = path)
            client.exchange(request).get(10, TimeUnit.SECONDS).getOrNull()
        }

        val failed = call("/fails")
        val next = call("/works")

        failed?.status shouldBe 500
        failed?.text() shouldBe "HANDLER_FAILED"
        next?.status shouldBe 200
        group.shutdownGracefully()
    }

    // Guards against whole requests whose connection was closed, or left open, with no response.
    @Test
    fun `requests with malformed escape sequences are answered, alone or behind another`() {
        val group = EventLoops.create(threads = 1)
        val limits = HttpLimits()
        val server = HttpServer.start(group, "127.0.0.1", port = 0, limits = { limits }, handler = handler)
        val sound = "GET /works HTTP/1.1\r\nHost: a\r\n\r\n"
        listOf("/%zz", "/x?a=%", "/x?%f").forEach { target ->
            listOf("", sound).forEach { first ->
                Socket("127.0.0.1", server.port).use { caller ->
                    caller.soTimeout = TIMEOUT_MILLIS
                    caller.getOutputStream().write("${first}GET $target HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())

                    val received = caller.getInputStream().readAllBytes().decodeToString()

                    withClue("$first$target") { received shouldContain "MALFORMED" }
                }
            }
        }
        group.shutdownGracefully()
    }

    // Guards against a process that exits while a finished response is not on the network yet.
    @Test
    suspend fun `a request counts as active until its response is written completely`() {
        val group = EventLoops.create(threads = 1)
        val limits = HttpLimits()
        val server = HttpServer.start(group, "127.0.0.1", port = 0, limits = { limits }, handler = handler)

        Socket("127.0.0.1", server.port).use { caller ->
            caller.getOutputStream().write("GET /large HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
            caller.getInputStream().read()
            val activeBeforeReading = server.activeCount
            caller.getInputStream().readNBytes(LARGE_BODY_BYTES)

            activeBeforeReading shouldBe 1
            eventually(10.seconds) { server.activeCount shouldBe 0 }
        }
        group.shutdownGracefully()
    }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000

        /** More than the network holds for a caller that doesn't read. */
        const val LARGE_BODY_BYTES = 32_000_000
    }
}
