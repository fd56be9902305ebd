package org.bulrushtack.daemon.front

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import org.bulrushtack.daemon.testing.DaemonFixture

class CallerInterfaceTest : AnnotationSpec() {
    private lateinit var system: DaemonFixture

    @BeforeAll
    fun startSystem() {
        system = DaemonFixture()
    }

    @AfterAll
    fun stopSystem() {
        system.close()
    }

    private fun kind(body: String, key: String = DaemonFixture.WORKSPACE_KEY): Pair<Int, String> {
        val response = system.complete(body = body, key = key)
        return response.status to system.json(response)["kind"].asText()
    }

    @Test
    fun `every daemon returns a buffered completion in full`() {
        system.ports.forEach { port ->
            val response = system.complete("""{"model":"atlas","prompt":"hello there","max_tokens":5}""", port)

            response.status shouldBe 200
            val choice = system.json(response)["choices"][0]
            choice["text"].asText().trim().split(' ').map { it.substringBefore('-') } shouldContainExactly
                listOf("t0", "t1", "t2", "t3", "t4")
            choice["finish_reason"].asText() shouldBe "length"
        }
    }

    @Test
    fun `a streamed completion ends with its usage and DONE`() {
        val response = system.complete("""{"model":"atlas","prompt":"hello there","max_tokens":3,"stream":true}""")

        response.contentType shouldBe "text/event-stream"
        val events = response.text().split("\n\n").filter { it.isNotEmpty() }
        events.last() shouldBe "data: [DONE]"
        events[events.size - 2] shouldContain """"completion_tokens":3"""
    }

    @Test
    fun `each invalid input gets its problem kind, and the daemon keeps serving`() {
        kind("no json") shouldBe (400 to "malformed-request")
        kind("""{"model":"atlas"}""") shouldBe (400 to "malformed-request")
        kind("""{"model":"atlas","prompt":"x","max_tokens":-1}""") shouldBe (400 to "invalid-limit")
        kind("""{"model":"atlas","prompt":"x","max_tokens":1.5}""") shouldBe (400 to "invalid-limit")
        kind("""{"model":"atlas","prompt":"x","deadline_seconds":0}""") shouldBe (400 to "invalid-limit")
        kind("""{"model":"none","prompt":"x"}""") shouldBe (404 to "unknown-model")
        kind("""{"model":"atlas","prompt":"x","max_tokens":9000,"deadline_seconds":1}""") shouldBe
            (503 to "cannot-finish-in-time")
        kind("""{"model":"atlas","prompt":"${"x".repeat(100_000)}"}""") shouldBe (413 to "body-too-large")

        system.complete("""{"model":"atlas","prompt":"x","max_tokens":1}""").status shouldBe 200
    }

    @Test
    fun `a wrong key is refused and not repeated in the response`() {
        val response = system.complete("""{"model":"atlas","prompt":"x"}""", key = "wrong-key")

        response.status shouldBe 401
        system.json(response)["ran"].asText() shouldBe "no"
        response.text() shouldNotContain "wrong-key"
        val port = system.ports.first()
        system.send(port, "GET", "/v1/operator/status", "", DaemonFixture.WORKSPACE_KEY).status shouldBe 401
    }

    @Test
    fun `an unknown path and an unsupported method have their own status codes`() {
        system.send(system.ports.first(), "GET", "/v2/entry", "").status shouldBe 404
        system.send(system.ports.first(), "DELETE", "/v1/entry", "").status shouldBe 405
    }

    @Test
    fun `oversized headers, an incomplete body, a malformed line and an oversized body are refused`() {
        val head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        system.sendRaw(head + "x-flood: ${"y".repeat(8_192)}\r\n\r\n") shouldStartWith "HTTP/1.1 431"
        system.sendRaw(head + "Content-Length: 50\r\n\r\nhalf") shouldStartWith "HTTP/1.1 408"
        system.sendRaw("NONSENSE\r\n\r\n") shouldStartWith "HTTP/1.1 400"
        system.sendRaw(head + "Content-Length: 100001\r\n\r\n") shouldStartWith "HTTP/1.1 413"

        system.complete("""{"model":"atlas","prompt":"x","max_tokens":1}""").status shouldBe 200
    }

    @Test
    fun `two daemons that receive one idempotency key concurrently run the booking once`() {
        val key = system.newIdempotencyKey()

        val responses = system.ports.map { system.book(idempotencyKey = key, port = it) }.map { it.join() }

        responses.map { it.status } shouldBe listOf(201, 201)
        responses.map { it.headers.find("idempotency-replayed") }.toSet() shouldBe setOf("true", "false")
        system.serviceRuns().count { it == key } shouldBe 1
    }

    @Test
    fun `a booking needs a key of version 7, and a repeatable operation needs none`() {
        val port = system.ports.first()

        system.book(idempotencyKey = null, port = port).join().status shouldBe 400
        system.book(idempotencyKey = "key-1", port = port).join().status shouldBe 400
        system.book(idempotencyKey = null, port = port, operation = "lookup").join().status shouldBe 201
    }

    @Test
    fun `the paths for health, readiness and metrics respond`() {
        val port = system.ports.first()
        system.send(port, "GET", "/healthz", "").status shouldBe 200
        system.send(port, "GET", "/readyz", "").text() shouldBe "ready\n"
        system.send(port, "GET", "/metrics", "").text() shouldContain "bulrushtack_requests_total"
    }
}
