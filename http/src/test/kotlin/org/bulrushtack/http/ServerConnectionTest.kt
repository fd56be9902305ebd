package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

class ServerConnectionTest : AnnotationSpec() {
    private val handler = object : HttpHandler {
        override fun handle(exchange: HttpExchange) {
            check(exchange.request.path != "/fails") { "unexpected" }
            exchange.respond(HttpMessageResponse(status = 200))
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
}
