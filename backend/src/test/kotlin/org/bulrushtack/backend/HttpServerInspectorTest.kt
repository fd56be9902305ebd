package org.bulrushtack.backend

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class HttpServerInspectorTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)
    private val testSubject = HttpServerInspector(HttpClient(group))
    private val listening = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private var lists = 0

    @AfterAll
    fun stop() {
        listening.close()
        group.shutdownGracefully()
    }

    /** Answers each request with a new list; on a kept connection, the list before comes once more first. */
    private fun serve() {
        try {
            while (true) {
                val socket = listening.accept()
                thread(isDaemon = true) { socket.use { answerAll(it) } }
            }
        } catch (_: SocketException) {
            // The test closed the listening socket.
        }
    }

    private fun answerAll(socket: Socket) {
        val requests = socket.getInputStream().bufferedReader().lineSequence().filter { it.isEmpty() }
        requests.forEachIndexed { index, _ ->
            lists += 1
            val copy = if (index > 0) list(lists - 1) else ""
            socket.getOutputStream().write((copy + list(lists)).toByteArray())
        }
    }

    private fun list(number: Int): String {
        val body = """{"incarnation":"i-1","capacity_tokens":$number,"leaving":false,"requests":[]}"""
        return response(body)
    }

    private fun response(body: String) = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"

    // Guards against work that counts as finished since an earlier list, written once more, doesn't contain it.
    @Test
    fun `a list of an earlier request that is written once more is not taken for the current one`() {
        thread(isDaemon = true) { serve() }
        val address = "127.0.0.1:${listening.localPort}"

        val capacities = List(2) {
            testSubject.listRequests(address).get(10, TimeUnit.SECONDS).getOrNull()?.capacityTokens
        }

        capacities shouldBe listOf(1L, 2L)
    }

    @Test
    fun `a list whose values have other types is no list`() {
        val bodies = listOf(
            """{"incarnation":"i-1","capacity_tokens":"9","leaving":false,"requests":[]}""",
            """{"incarnation":"i-1","capacity_tokens":-9,"leaving":false,"requests":[]}""",
            """{"incarnation":"i-1","capacity_tokens":9,"leaving":"no","requests":[]}""",
            """{"incarnation":"i-1","capacity_tokens":9,"leaving":false}""",
        )
        bodies.forEach { body ->
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                thread(isDaemon = true) {
                    server.accept().use { socket ->
                        socket.getInputStream().bufferedReader().lineSequence().first { it.isEmpty() }
                        socket.getOutputStream().write(response(body).toByteArray())
                    }
                }
                val address = "127.0.0.1:${server.localPort}"

                testSubject.listRequests(address).get(10, TimeUnit.SECONDS).isLeft() shouldBe true
            }
        }
    }
}
