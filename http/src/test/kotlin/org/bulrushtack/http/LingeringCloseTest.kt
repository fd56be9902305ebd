package org.bulrushtack.http

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

class LingeringCloseTest : AnnotationSpec() {
    private lateinit var fixture: ServerFixture

    @BeforeEach
    fun startServer() {
        fixture = ServerFixture()
    }

    @AfterEach
    fun stopServer() {
        fixture.close()
    }

    /** Sends [bytes] of a body when the response has arrived, and returns why that failed, or null. */
    private fun sendBody(caller: RawCaller, bytes: Int): String? = try {
        while (caller.socket.getInputStream().available() == 0) Thread.onSpinWait()
        repeat(bytes / PART_BYTES) { caller.socket.getOutputStream().write(ByteArray(PART_BYTES)) }
        null
    } catch (broken: IOException) {
        broken.toString()
    }

    // Guards against refusals that a reset destroys, since the server closes while the caller still sends.
    @Test
    fun `a caller that reads only after its whole body gets the refusal`() {
        fixture.limits = HttpLimits(bodyBytes = PART_BYTES)

        fixture.caller().use { caller ->
            caller.send("POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: $BODY_BYTES\r\n\r\n")
            val failure = sendBody(caller, bytes = BODY_BYTES)

            failure shouldBe null
            caller.readAll() shouldEndWith "BODY_TOO_LARGE"
        }
    }

    // Guards against the same loss after the last response of a connection.
    @Test
    fun `a caller that sends on after the last response gets no reset`() {
        fixture.caller().use { caller ->
            caller.send("GET /now HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            val failure = sendBody(caller, bytes = BODY_BYTES)

            failure shouldBe null
            caller.readAll() shouldEndWith "</now>"
        }
    }

    // Guards against a process that exits and resets connections whose last response is still on its way.
    @Test
    suspend fun `closing all connections sends what was written and then the end, without a reset`() {
        fixture.caller().use { caller ->
            caller.get("/now")
            while (caller.socket.getInputStream().available() == 0) Thread.onSpinWait()

            caller.send("POST /later HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES + 1}\r\n\r\n")
            fixture.server.closeConnections(millis = LONG_MILLIS)
            val failure = sendBody(caller, bytes = BODY_BYTES)

            failure shouldBe null
            caller.readAll() shouldEndWith "</now>"
        }
        eventually(10.seconds) { fixture.server.connectionCount shouldBe 0 }
        fixture.endCount shouldBe 0
    }

    @Test
    suspend fun `a caller that never closes does not hold its connection beyond the time for it`() {
        fixture.caller().use { caller ->
            caller.get("/now")
            while (caller.socket.getInputStream().available() == 0) Thread.onSpinWait()

            fixture.server.closeConnections(millis = 100)

            eventually(10.seconds) { fixture.server.connectionCount shouldBe 0 }
        }
    }

    private companion object {
        const val LONG_MILLIS = 60_000L

        const val PART_BYTES = 8_192
        const val BODY_BYTES = 4_194_304
    }
}
