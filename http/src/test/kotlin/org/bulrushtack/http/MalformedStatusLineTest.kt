package org.bulrushtack.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Sends requests to servers whose status lines are not HTTP, or are unusual. */
class MalformedStatusLineTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)
    private val testSubject = HttpClient(group)

    @AfterAll
    fun closeGroup() {
        group.shutdownGracefully()
    }

    private fun exchange(server: RawServer) = testSubject
        .exchange(ClientRequest(method = "GET", address = server.address, path = "/"))
        .get(LIMIT_SECONDS, TimeUnit.SECONDS)

    private fun serving(response: String) = RawServer { socket ->
        while (RawServer.readRequest(socket)) RawServer.send(socket, response)
    }

    // Guards against a status that only a lenient parser takes for a number.
    @Test
    fun `a status line without three digits of 100 to 599 is no response, and its connection is not used again`() {
        val statuses = listOf(
            "000", "001", "099", "600", "999", "20", "2000", "0200", "00200", "+200", "-200", "2 0", "2e2", "0xc8",
            "20O", "200OK", "", "\u0662\u0660\u0660", "200\u0000", "200\u000b", "200,", "\u0000200",
        )
        val lines = statuses.map { "HTTP/1.1 $it OK" } + listOf(
            "HTTP/1.1",
            "HTTP/1.1 ",
            "HTTP/1.1  200 OK",
            "HTTP/1.1\t200 OK",
            "HTTP/1.1 200\tOK",
            "HTTP/1.1 200 O\u0001K",
            "HTTP/1.1 200 O\u007fK",
            "HTTP/1.1 200 O\rK",
            " HTTP/1.1 200 OK",
            "\u0001HTTP/1.1 200 OK",
            "\r\nHTTP/1.1 200 OK",
            "http/1.1 200 OK",
            "HTHTTP/1.1 200 OK",
            "HTTP/1 200 OK",
            "HTTP/1.1.1 200 OK",
            "HTTP/11 200 OK",
            "HTTP/1.2 200 OK",
            "HTTP/2.0 200 OK",
            "ICY 200 OK",
        )
        lines.forEach { line ->
            withClue("status line '$line'") {
                serving("$line\r\nContent-Length: 4\r\n\r\nbody").use { server ->
                    repeat(CALLS) { exchange(server).leftOrNull().shouldNotBeNull().sent shouldBe true }

                    server.accepted.get() shouldBe CALLS
                }
            }
        }
    }

    @Test
    fun `a malformed status line after an informational response is no response`() {
        listOf("100 Continue", "103 Early Hints").forEach { informational ->
            listOf("000", "099", "+200").forEach { status ->
                val response = "HTTP/1.1 $informational\r\n\r\nHTTP/1.1 $status OK\r\nContent-Length: 4\r\n\r\nbody"
                serving(response).use { server ->
                    withClue("$informational, $status") { exchange(server).leftOrNull().shouldNotBeNull() }
                }
            }
        }
    }

    @Test
    fun `an unusual but valid status line is a response, whose connection is used again`() {
        val lines = mapOf(
            "HTTP/1.1 200 " to 200,
            "HTTP/1.1 200" to 200,
            "HTTP/1.1 299 caf\u00e9\tau lait" to 299,
            "HTTP/1.1 599 200 OK" to 599,
            "HTTP/1.1 404  two blanks" to 404,
        )
        lines.forEach { (line, status) ->
            withClue("status line '$line'") {
                serving("$line\r\nContent-Length: 4\r\n\r\nbody").use { server ->
                    repeat(CALLS) {
                        val response = exchange(server).getOrNull().shouldNotBeNull()

                        response.status shouldBe status
                        response.text() shouldBe "body"
                    }
                    server.accepted.get() shouldBe 1
                }
            }
        }
    }

    @Test
    fun `the observer gets the server and the rule that was broken, on one line`() {
        val observed = CompletableFuture<Pair<String, String>>()
        val client = HttpClient(group, malformedResponses = { address, reason -> observed.complete(address to reason) })
        serving("HTTP/1.1 \u0001000 ${"x".repeat(LONG_REASON)}\r\n\r\n").use { server ->
            val request = ClientRequest(method = "GET", address = server.address, path = "/")

            val failure = client.exchange(request).get(LIMIT_SECONDS, TimeUnit.SECONDS).leftOrNull().shouldNotBeNull()

            val (address, reason) = observed.get(LIMIT_SECONDS, TimeUnit.SECONDS)
            address shouldBe server.address
            reason shouldBe "the status line is not a version, a status of 100 to 599 and a reason"
            failure.reason shouldBe "malformed response: $reason"
        }
    }

    private companion object {
        const val LONG_REASON = 1_000
        const val CALLS = 2
        const val LIMIT_SECONDS = 10L
    }
}
