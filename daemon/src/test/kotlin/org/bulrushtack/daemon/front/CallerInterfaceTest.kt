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
    fun `a whole answer comes from any daemon`() {
        system.ports.forEach { port ->
            val answer = system.complete("""{"model":"atlas","prompt":"hello there","max_tokens":5}""", port)

            answer.status shouldBe 200
            val choice = system.json(answer)["choices"][0]
            choice["text"].asText().trim().split(' ').map { it.substringBefore('-') } shouldContainExactly
                listOf("t0", "t1", "t2", "t3", "t4")
            choice["finish_reason"].asText() shouldBe "length"
        }
    }

    @Test
    fun `a streamed answer ends with its usage and DONE`() {
        val answer = system.complete("""{"model":"atlas","prompt":"hello there","max_tokens":3,"stream":true}""")

        answer.contentType shouldBe "text/event-stream"
        val events = answer.text().split("\n\n").filter { it.isNotEmpty() }
        events.last() shouldBe "data: [DONE]"
        events[events.size - 2] shouldContain """"completion_tokens":3"""
    }

    @Test
    fun `bad input gets its own kind, and the daemon goes on serving`() {
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
    fun `a wrong key is refused and does not come back`() {
        val answer = system.complete("""{"model":"atlas","prompt":"x"}""", key = "wrong-key")

        answer.status shouldBe 401
        system.json(answer)["ran"].asText() shouldBe "no"
        answer.text() shouldNotContain "wrong-key"
        val port = system.ports.first()
        system.send(port, "GET", "/v1/operator/status", "", DaemonFixture.WORKSPACE_KEY).status shouldBe 401
    }

    @Test
    fun `an unknown path and a wrong method have their own kinds`() {
        system.send(system.ports.first(), "GET", "/v2/entry", "").status shouldBe 404
        system.send(system.ports.first(), "DELETE", "/v1/entry", "").status shouldBe 405
    }

    @Test
    fun `a header flood, a body that stops half-way and a malformed line are refused`() {
        val head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        system.raw(head + "x-flood: ${"y".repeat(8_192)}\r\n\r\n") shouldStartWith "HTTP/1.1 431"
        system.raw(head + "Content-Length: 50\r\n\r\nhalf") shouldStartWith "HTTP/1.1 408"
        system.raw("NONSENSE\r\n\r\n") shouldStartWith "HTTP/1.1 400"
        system.raw(head + "Content-Length: 100001\r\n\r\n") shouldStartWith "HTTP/1.1 413"

        system.complete("""{"model":"atlas","prompt":"x","max_tokens":1}""").status shouldBe 200
    }

    @Test
    fun `two daemons given one key at once run the booking once`() {
        val key = system.newIdempotencyKey()

        val answers = system.ports.map { system.book(idempotencyKey = key, port = it) }.map { it.join() }

        answers.map { it.status } shouldBe listOf(201, 201)
        answers.map { it.headers.find("idempotency-replayed") }.toSet() shouldBe setOf("true", "false")
        system.runs().count { it == key } shouldBe 1
    }

    @Test
    fun `a booking needs a key of version 7, and an operation that may be repeated needs none`() {
        val port = system.ports.first()

        system.book(idempotencyKey = null, port = port).join().status shouldBe 400
        system.book(idempotencyKey = "key-1", port = port).join().status shouldBe 400
        system.book(idempotencyKey = null, port = port, operation = "lookup").join().status shouldBe 201
    }

    @Test
    fun `health and measures are told`() {
        val port = system.ports.first()
        system.send(port, "GET", "/healthz", "").status shouldBe 200
        system.send(port, "GET", "/readyz", "").text() shouldBe "ready\n"
        system.send(port, "GET", "/metrics", "").text() shouldContain "bulrushtack_requests_total"
    }
}
