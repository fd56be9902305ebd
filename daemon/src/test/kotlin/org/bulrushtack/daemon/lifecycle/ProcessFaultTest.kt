package org.bulrushtack.daemon.lifecycle

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.daemon.testing.DaemonFixture
import org.bulrushtack.daemon.testing.DaemonProcess
import org.bulrushtack.daemon.testing.KnownRed
import org.bulrushtack.http.HttpMessageResponse
import java.util.concurrent.CompletableFuture

class ProcessFaultTest : AnnotationSpec() {
    private lateinit var system: DaemonFixture

    @BeforeEach
    fun startSystem() {
        system = DaemonFixture(daemonCount = 3, startDaemon = ::DaemonProcess)
    }

    @AfterEach
    fun stopSystem() {
        system.close()
    }

    private fun owner(): DaemonProcess = system.daemons[system.ownerOf("engine-1")] as DaemonProcess

    private fun portBesideOwner(): Int = system.ports[(system.ownerOf("engine-1") + 1) % system.ports.size]

    private fun completeLater(port: Int, tokens: Int): CompletableFuture<HttpMessageResponse> {
        val startsBefore = system.engineStats()["starts"].asInt()
        val answer = CompletableFuture.supplyAsync {
            system.complete("""{"model":"atlas","prompt":"x","max_tokens":$tokens,"deadline_seconds":60}""", port)
        }
        DaemonFixture.await("a dispatch") { system.engineStats()["starts"].asInt() > startsBefore }
        return answer
    }

    private fun tokensOf(answer: HttpMessageResponse): List<String> =
        system.json(answer)["choices"][0]["text"].asText().trim().split(' ').map { it.substringBefore('-') }

    @Test
    fun `an owner killed in mid-stream costs no token, and the engine's memory comes back`() {
        val answer = completeLater(port = portBesideOwner(), tokens = 600)
        val ledTo = portBesideOwner()

        owner().signal("KILL")

        answer.join().status shouldBe 200
        tokensOf(answer.join()) shouldBe (0 until 600).map { "t$it" }
        DaemonFixture.await("the engine's memory") { system.engineStats()["heldTokens"].asLong() == 0L }
        system.complete("""{"model":"atlas","prompt":"x","max_tokens":1}""", ledTo).status shouldBe 200
    }

    @Test
    fun `an owner paused beyond its lease does not disturb its successor when it wakes`() {
        val port = portBesideOwner()
        val paused = owner()
        val answer = completeLater(port = port, tokens = 600)

        paused.signal("STOP")
        val whole = answer.join()
        paused.signal("CONT")

        whole.status shouldBe 200
        tokensOf(whole) shouldBe (0 until 600).map { "t$it" }
        system.ports.forEach { each ->
            system.complete("""{"model":"atlas","prompt":"x","max_tokens":2}""", each).status shouldBe 200
        }
        system.engineStats()["falls"].asInt() shouldBe 0
    }

    @Test
    fun `a shutdown under load cuts no request`() {
        val leaving = owner()
        val ports = system.ports
        val answers = List(12) { completeLater(port = ports[it % ports.size], tokens = 300) }

        leaving.signal("TERM")

        answers.forEach { it.join().status shouldBe 200 }
        leaving.ended(seconds = 60) shouldBe true
    }

    @Test
    fun `a data centre taken out gets no new work after a few seconds and serves again when brought back`() {
        if (KnownRed.passesOver("a data centre taken out gets no new work after a few seconds")) return
        val port = system.ports.first()
        val answer = completeLater(port = port, tokens = 300)

        system.edit("/data-centres/a", "state", "out").status shouldBe 200
        val takenOutAtMillis = System.currentTimeMillis()
        val refused = system.complete("""{"model":"atlas","prompt":"x","deadline_seconds":2,"max_tokens":1}""", port)

        answer.join().status shouldBe 200
        system.json(refused)["kind"].asText() shouldBe "no-backend-server"
        (system.engineStats()["lastStartAtMillis"].asLong() - takenOutAtMillis) shouldBeLessThanOrEqual 5_000
        system.edit("/data-centres/a", "state", "in").status shouldBe 200
        system.complete("""{"model":"atlas","prompt":"x","max_tokens":1}""", port).status shouldBe 200
    }

    @Test
    fun `a booking is not run again after the daemon that took it was killed`() {
        val key = system.newIdempotencyKey()
        system.send(system.service.controlPort, "POST", "/control/faults", """{"delayMillis":1500}""")
        val first = system.book(idempotencyKey = key, port = system.ports.last())
        DaemonFixture.await("the booking's claim") { claims() > 0 }

        (system.daemons.last() as DaemonProcess).signal("KILL")
        val second = system.book(idempotencyKey = key, port = system.ports.first()).join()

        first.handle { _, _ -> }.join()
        system.json(second)["kind"].asText() shouldBe "call-undecided"
        system.json(second)["ran"].asText() shouldBe "unknown"
        (system.runs().count { it == key } <= 1) shouldBe true
    }

    private fun claims(): Int = system.json(system.operator("GET", "/v1/operator/status"))["claims"].asInt()
}
