package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Pooled connections that fall silent without a reset, while new ones work. */
class SilentConnectionTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)
    private val testSubject = HttpClient(group)

    @AfterAll
    fun closeGroup() {
        group.shutdownGracefully()
    }

    // Guards against calls that time out one after the other until each silent connection of the pool has been tried.
    @Test
    fun `one call that gets no reply takes all silent connections out of use`() {
        SilenceableServer().use { server ->
            server.openConnections(POOLED)

            server.silence()
            val isAnswered = List(POOLED + 1) { call(server.address, "/at-once") }

            isAnswered shouldBe listOf(false) + List(POOLED) { true }
            server.accepted shouldBe POOLED + 1
        }
    }

    // Guards against a retry that meets another silent connection, as it is made while the timeout is reported.
    @Test
    fun `a request that is sent again within the report of its timeout is answered`() {
        SilenceableServer().use { server ->
            server.openConnections(POOLED)

            server.silence()
            val again = testSubject.exchange(request(server.address, "/at-once"))
                .thenCompose { testSubject.exchange(request(server.address, "/at-once")) }

            again.get(LIMIT_SECONDS, TimeUnit.SECONDS).isRight() shouldBe true
        }
    }

    // Guards against new connections for each response that is late, while the server can be reached.
    @Test
    fun `a late response takes no connection out of use that has received another one since`() {
        SilenceableServer().use { server ->
            server.openConnections(POOLED)

            val late = testSubject.exchange(request(server.address, "/never"))
            server.openConnections(POOLED - 1)
            late.get(LIMIT_SECONDS, TimeUnit.SECONDS).isRight() shouldBe false
            server.openConnections(POOLED - 1)

            server.accepted shouldBe POOLED
        }
    }

    // Guards against new connections for each response that is long, while the server can be reached.
    @Test
    fun `a response that has begun takes no other connection out of use`() {
        SilenceableServer().use { server ->
            server.openConnections(POOLED)

            val isAnswered = call(server.address, "/in-part")
            server.openConnections(POOLED - 1)

            isAnswered shouldBe false
            server.accepted shouldBe POOLED
        }
    }

    // Guards against new connections for each request that its caller gives up.
    @Test
    fun `a request that is cancelled takes no other connection out of use`() {
        SilenceableServer().use { server ->
            server.openConnections(POOLED)

            val listener = FakeResponseListener()
            testSubject.send(request(server.address, "/never"), listener).cancel()
            server.openConnections(POOLED - 1)

            listener.failures.single().reason shouldBe "cancelled"
            server.accepted shouldBe POOLED
        }
    }

    /** Leaves [count] connections in the pool, each of which has served a request, or fails. */
    private fun SilenceableServer.openConnections(count: Int) {
        respondTogether(count)
        val request = request(address, "/together").copy(timeoutMillis = null)
        val responses = List(count) { testSubject.exchange(request) }
        responses.forEach { it.get(LIMIT_SECONDS, TimeUnit.SECONDS).isRight() shouldBe true }
    }

    private fun call(address: String, path: String): Boolean =
        testSubject.exchange(request(address, path)).get(LIMIT_SECONDS, TimeUnit.SECONDS).isRight()

    private fun request(address: String, path: String) =
        ClientRequest(method = "GET", address = address, path = path, timeoutMillis = TIMEOUT_MILLIS)

    /** A server whose connections fall silent when told so. */
    private class SilenceableServer : AutoCloseable {
        @Volatile
        private var silentConnections = 0

        @Volatile
        private var together = CountDownLatch(0)
        private val server = RawServer(::serve)

        val address: String get() = server.address
        val accepted: Int get() = server.accepted.get()

        override fun close() = server.close()

        /** Responds to nothing any more on the connections that are open; new ones work. */
        fun silence() {
            silentConnections = accepted
        }

        /** Responds to the path "/together" as soon as [count] requests have come. */
        fun respondTogether(count: Int) {
            together = CountDownLatch(count)
        }

        private fun serve(socket: Socket) {
            val number = accepted
            generateSequence { readPath(socket) }.filter { number > silentConnections }.forEach { path ->
                when (path) {
                    "/together" -> {
                        together.countDown()
                        together.await()
                        RawServer.send(socket, RESPONSE)
                    }
                    "/at-once" -> RawServer.send(socket, RESPONSE)
                    "/in-part" -> RawServer.send(socket, RESPONSE.dropLast(1))
                }
            }
        }

        /** Reads a request without a body and returns its path, or null at the end of the connection. */
        private fun readPath(socket: Socket): String? {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = socket.getInputStream().read()
                if (byte < 0) return null
                head.append(byte.toChar())
            }
            return head.split(' ')[1]
        }
    }

    private companion object {
        const val POOLED = 6
        const val TIMEOUT_MILLIS = 1_000L
        const val LIMIT_SECONDS = 10L
        const val RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
    }
}
