package org.bulrushtack.daemon.lifecycle

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.daemon.testing.DaemonFixture
import java.util.concurrent.CompletableFuture

class PlatformFailureTest : AnnotationSpec() {
    private lateinit var system: DaemonFixture

    @BeforeEach
    fun startSystem() {
        system = DaemonFixture()
    }

    @AfterEach
    fun stopSystem() {
        system.close()
    }

    @Test
    fun `an edit is accepted once when the platform's response to it is lost`() {
        system.injectPlatformFaults("""{"loseAnswers":1}""")

        val response = system.edit("/workspaces/dock", "max-running", "77")

        response.status shouldBe 200
        val edits = system.json(system.operator("GET", "/v1/operator/history"))["edits"]
        edits.count { it["changes"].first().asText().endsWith("= 77") && it["accepted"].asBoolean() } shouldBe 1
    }

    @Test
    fun `of two concurrent edits of one value, one is accepted and the other gets a conflict`() {
        val responses = system.ports.map { port ->
            CompletableFuture.supplyAsync {
                system.edit("/workspaces/dock", "max-running", "$port", port, expectedVersion = 0)
            }
        }.map { it.join() }

        responses.map { it.status }.sorted() shouldBe listOf(200, 409)
    }

    @Test
    fun `an accepted edit is in force on every daemon within 7 seconds`() {
        val response = system.json(system.edit("/workspaces/dock", "max-running", "5"))

        response["behind"].size() shouldBe 0
        response["inForceMillis"].asLong() shouldBeLessThanOrEqual 7_000
    }

    @Test
    fun `during a log outage completions are served, edits and bookings are refused with their problem kinds`() {
        val key = system.newIdempotencyKey()
        system.injectPlatformFaults("""{"outage":true}""")

        val completion = system.complete("""{"model":"atlas","prompt":"x","max_tokens":1}""")
        val booking = system.book(idempotencyKey = key, port = system.ports.first()).join()
        val edit = system.edit("/workspaces/dock", "max-running", "6")

        completion.status shouldBe 200
        system.json(booking)["kind"].asText() shouldBe "claim-unavailable"
        system.json(booking)["ran"].asText() shouldBe "no"
        listOf("log-unavailable", "edit-unconfirmed") shouldContain system.json(edit)["kind"].asText()
        system.serviceRuns().count { it == key } shouldBeLessThanOrEqual 0
    }

    @Test
    fun `a booking whose response was lost is not sent to the service again`() {
        val key = system.newIdempotencyKey()
        system.send(system.service.controlPort, "POST", "/control/faults", """{"loseAnswers":1}""")

        val first = system.book(idempotencyKey = key, port = system.ports.first()).join()
        val second = system.book(idempotencyKey = key, port = system.ports.last()).join()

        listOf(first, second).map { system.json(it)["kind"].asText() }.toSet() shouldBe setOf("outcome-unknown")
        system.serviceRuns().count { it == key } shouldBe 1
    }

    // Guards against callers who book again with another key, since a service that ran a booking answers with 503.
    @Test
    fun `a booking that ran is not reported as refused, nor its repeat, and a repeatable call gets the answer`() {
        val key = system.newIdempotencyKey()
        system.send(system.service.controlPort, "POST", "/control/faults", """{"status":503}""")

        val first = system.book(idempotencyKey = key, port = system.ports.first()).join()
        val second = system.book(idempotencyKey = key, port = system.ports.last()).join()
        val lookup = system.book(idempotencyKey = null, port = system.ports.first(), operation = "lookup").join()

        listOf(first, second).map { it.status } shouldBe listOf(502, 502)
        listOf(first, second).map { system.json(it)["kind"].asText() }.toSet() shouldBe setOf("outcome-unknown")
        system.serviceRuns().count { it == key } shouldBe 1
        lookup.status shouldBe 503
    }

    @Test
    fun `a booking whose response has the status 0 ends as unknown, and a repeatable call as lost`() {
        val key = system.newIdempotencyKey()
        system.send(system.service.controlPort, "POST", "/control/faults", """{"status":0}""")

        val first = system.book(idempotencyKey = key, port = system.ports.first()).join()
        val second = system.book(idempotencyKey = key, port = system.ports.last()).join()
        val lookup = system.book(idempotencyKey = null, port = system.ports.first(), operation = "lookup").join()

        listOf(first, second).map { system.json(it)["kind"].asText() }.toSet() shouldBe setOf("outcome-unknown")
        system.serviceRuns().count { it == key } shouldBe 1
        system.json(lookup)["kind"].asText() shouldBe "backend-lost"
    }

    @Test
    fun `a completion loses no token when its engine restarts mid-stream`() {
        val pendingResponse = CompletableFuture.supplyAsync {
            system.complete("""{"model":"atlas","prompt":"x","max_tokens":200}""")
        }
        DaemonFixture.await("a dispatch") { system.engineStats()["running"].asInt() == 1 }
        system.send(system.engine.controlPort, "POST", "/control/restart", "{}")

        val response = pendingResponse.join()

        response.status shouldBe 200
        val tokens = system.json(response)["choices"][0]["text"].asText().trim().split(' ')
        tokens.map { it.substringBefore('-') } shouldBe (0 until 200).map { "t$it" }
        system.engineStats()["starts"].asInt() shouldBe 2
    }
}
