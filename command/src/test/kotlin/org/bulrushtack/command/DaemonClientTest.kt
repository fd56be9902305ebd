package org.bulrushtack.command

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.HttpServer
import org.bulrushtack.http.RequestError

class DaemonClientTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)
    private val limits = HttpLimits()
    private var response = HttpMessageResponse(status = 200)
    private val server = HttpServer.start(group, "127.0.0.1", 0, limits = { limits }, handler = ResponseHandler())
    private val testSubject = DaemonClient(address = "127.0.0.1:${server.port}", key = "key")

    @AfterAll
    fun stop() {
        group.shutdownGracefully()
    }

    private fun exitCode(status: Int, body: String): Int? {
        response = HttpMessageResponse(status = status, body = body.toByteArray())
        return testSubject.get("/v1/operator/status").leftOrNull()?.exitCode
    }

    @Test
    fun `a response that is no JSON object is a failure, whatever its status`() {
        listOf("", "<html>", "[1]", "null", "{\"a\"").forEach { body ->
            listOf(200, 503).map { exitCode(it, body) } shouldBe listOf(ExitCode.UNREACHABLE, ExitCode.UNREACHABLE)
        }
    }

    @Test
    fun `a problem without some of its fields is a refusal`() {
        exitCode(status = 403, body = """{"kind":"forbidden"}""") shouldBe ExitCode.REFUSED
        exitCode(status = 502, body = "{}") shouldBe ExitCode.REFUSED
        exitCode(status = 200, body = "{}") shouldBe null
    }

    private inner class ResponseHandler : HttpHandler {
        override fun handle(exchange: HttpExchange) = exchange.respond(response)

        override fun errorResponse(error: RequestError) = HttpMessageResponse(status = 400)
    }
}
