package org.bulrushtack.forward.duty

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.forward.DutySettings
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.testing.FakeDutyCodec
import org.bulrushtack.forward.testing.FakeTime
import org.bulrushtack.forward.wire.DutyCall
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.http.HttpClient
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

class HttpDutyAddressTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)
    private val time = FakeTime()

    @AfterAll
    fun closeGroup() {
        group.shutdownGracefully()
    }

    /** Sends a duty call to an address that responds with [response] and closes. */
    private fun resultOf(response: String): DutyCallResult = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
        thread(isDaemon = true) {
            it.accept().use { socket ->
                val lines = socket.getInputStream().bufferedReader().lineSequence()
                lines.first { line -> line.isEmpty() }
                socket.getOutputStream().write(response.toByteArray())
                socket.shutdownOutput()
                while (socket.getInputStream().read() >= 0) continue
            }
        }
        val result = CompletableFuture<DutyCallResult>()
        testSubject(it.localPort).send(DutyCall(path = "/usage", body = ByteArray(0)), token = 1, result::complete)
        result.get(LIMIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun testSubject(port: Int) = HttpDutyAddress(
        client = HttpClient(group),
        settings = DutySettings(
            address = HostAndPort("127.0.0.1", port),
            names = setOf("usage"),
            isFenced = true,
            leaseMillis = 1_000,
            windowMillis = 1_000,
            lateMillis = 1_000,
            callsPerSecond = 10.0,
        ),
        codec = FakeDutyCodec,
        holder = "vm-1",
        environment = DutyEnvironment(
            thread = time.thread,
            timeOfDayMillis = { 0 },
            random = Random(1),
            log = EventLogs(time).forComponent("duties"),
        ),
    )

    @Test
    fun `the status of a response that is cut in its body decides`() {
        resultOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut") shouldBe DutyCallResult.ACCEPTED
        resultOf("HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\ncut") shouldBe DutyCallResult.FENCED
    }

    // Guards against a report that counts as accepted by a response of which nothing may be believed.
    @Test
    fun `a malformed response leaves the result unknown, whatever its status`() {
        val chunked = "Transfer-Encoding: chunked\r\n\r\n"
        val responses = listOf(
            "HTTP/1.1 000 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\n$chunked-1\r\n",
            "HTTP/1.1 409 Conflict\r\n${chunked}0\r\nX Bad: 1\r\n\r\n",
        )

        responses.map { resultOf(it) } shouldBe responses.map { DutyCallResult.UNKNOWN }
    }

    private companion object {
        const val LIMIT_SECONDS = 10L
    }
}
