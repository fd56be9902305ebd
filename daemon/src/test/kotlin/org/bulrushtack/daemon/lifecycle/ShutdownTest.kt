package org.bulrushtack.daemon.lifecycle

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.bulrushtack.daemon.testing.DaemonFixture
import org.bulrushtack.daemon.testing.DaemonProcess
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.standin.engine.EngineOptions
import java.net.ConnectException
import java.net.Socket
import java.util.concurrent.CompletableFuture

/** Stops a daemon process whose requests last longer than its shutdown; each caller gets a true response. */
class ShutdownTest : AnnotationSpec() {
    private lateinit var system: DaemonFixture

    @BeforeEach
    fun startSystem() {
        system = DaemonFixture(
            daemonCount = 1,
            engineOptions = EngineOptions(coldMillis = 0, memoryTokens = ENGINE_TOKENS, decodeTokensPerSecond = 10),
            drainMillis = 3_000,
            startDaemon = ::DaemonProcess,
        )
        system.edit("/", "entry-keep-seconds", "1")
    }

    @AfterEach
    fun stopSystem() {
        system.close()
    }

    private fun startCompletion(): CompletableFuture<HttpMessageResponse> = CompletableFuture.supplyAsync {
        system.complete("""{"model":"atlas","prompt":"x","max_tokens":$ANSWER_TOKENS,"deadline_seconds":300}""")
    }

    private fun startRunningCompletion(): CompletableFuture<HttpMessageResponse> {
        val running = startCompletion()
        DaemonFixture.await("the start") { system.engineStats()["starts"].asInt() == 1 }
        return running
    }

    private fun awaitStatus(field: String, count: Int) = DaemonFixture.await("$count $field") {
        system.json(system.operator("GET", "/v1/operator/status"))[field].asInt() == count
    }

    private fun acceptsConnections(): Boolean = try {
        Socket("127.0.0.1", system.ports.single()).close()
        true
    } catch (_: ConnectException) {
        false
    }

    private fun terminate() = (system.daemons.single() as DaemonProcess).signal("TERM")

    // Guards against requests that lost their connection without a response when the drain timed out.
    @Test
    fun `requests that are pending at the end of the drain get their final response`() {
        val running = startRunningCompletion()
        val queued = startCompletion()
        awaitStatus("requests", count = 2)
        system.send(system.service.controlPort, "POST", "/control/faults", """{"delayMillis":60000}""")
        val booking = system.book(idempotencyKey = system.newIdempotencyKey(), port = system.ports.single())
        awaitStatus("claims", count = 1)

        terminate()

        running.join().status shouldBe 502
        queued.join().status shouldBe 503
        system.json(queued.join())["kind"].asText() shouldBe "draining"
        system.json(booking.join())["kind"].asText() shouldBe "outcome-unknown"
    }

    // Guards against work that was admitted on open connections until the process was gone.
    @Test
    fun `a request on an open connection is refused as not run once callers know other daemons`() {
        val running = startRunningCompletion()
        val body = """{"model":"atlas","prompt":"x","max_tokens":1}"""
        val request = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n" +
            "Authorization: Bearer ${DaemonFixture.WORKSPACE_KEY}\r\n\r\n$body"

        Socket("127.0.0.1", system.ports.single()).use { kept ->
            terminate()
            DaemonFixture.await("the end of the admission") { !acceptsConnections() }
            kept.getOutputStream().write(request.toByteArray())
            val response = kept.getInputStream().readBytes().decodeToString()

            response shouldStartWith "HTTP/1.1 503"
            response shouldContain "\"kind\":\"draining\""
        }
        running.join().status shouldBe 502
    }

    // Guards against a body under way whose connection was reset without a response at the exit.
    @Test
    fun `a request that is still arriving at the exit gets a response`() {
        val head = "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n" +
            "Authorization: Bearer ${DaemonFixture.WORKSPACE_KEY}\r\n\r\n"

        Socket("127.0.0.1", system.ports.single()).use { caller ->
            caller.getOutputStream().write("$head{\"model\":".toByteArray())
            terminate()

            caller.getInputStream().readBytes().decodeToString() shouldStartWith "HTTP/1.1 408"
        }
    }

    private companion object {
        const val ENGINE_TOKENS = 900L

        /** One such answer fits into the engine, two don't. */
        const val ANSWER_TOKENS = 600L
    }
}
