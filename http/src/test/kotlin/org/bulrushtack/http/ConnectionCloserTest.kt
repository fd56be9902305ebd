package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ConnectionCloserTest : AnnotationSpec() {
    private lateinit var fixture: ServerFixture

    @BeforeEach
    fun startServer() {
        fixture = ServerFixture()
    }

    @AfterEach
    fun stopServer() {
        fixture.close()
    }

    @Test
    fun `a caller that leaves is reported with what its connection held`() {
        fixture.caller().use { caller ->
            caller.get("/first")
            fixture.handler.next()
            caller.send("POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
        }

        fixture.nextEnd() shouldBe ConnectionEnd(
            cause = ConnectionEndCause.PEER,
            isUnanswered = true,
            heldRequests = 1,
            unreadBytes = ("/second" + "Host" + "a" + "Content-Length" + "3" + "abc").length.toLong(),
        )
    }

    @Test
    fun `a response that the handler breaks off is reported`() {
        fixture.caller().use { caller ->
            caller.get("/first")
            fixture.handler.next().abort()

            caller.readAll() shouldBe ""
        }

        fixture.nextEnd().cause shouldBe ConnectionEndCause.ABORTED
    }

    @Test
    fun `an exit with an open request is reported`() {
        fixture.caller().use { caller ->
            caller.get("/first")
            fixture.handler.next()

            fixture.server.closeConnections(millis = 0)

            fixture.nextEnd().cause shouldBe ConnectionEndCause.EXIT
        }
    }

    @Test
    fun `answered requests are not reported, whoever closes`() {
        fixture.caller().use { caller ->
            caller.get("/now")
            caller.send("GET /now-last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            caller.readAll()
        }
        fixture.caller().use { it.get("/kept") }

        fixture.nextEnd().cause shouldBe ConnectionEndCause.PEER
        fixture.endCount shouldBe 0
    }
}
