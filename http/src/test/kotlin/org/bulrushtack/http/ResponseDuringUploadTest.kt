package org.bulrushtack.http

import arrow.core.Either
import arrow.core.right
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.TimeUnit

/** Sends large requests to servers that respond before they have read all of the request. */
class ResponseDuringUploadTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)
    private val testSubject = HttpClient(group)

    @AfterAll
    fun closeGroup() {
        group.shutdownGracefully()
    }

    private fun upload(server: RawServer, isDedicated: Boolean): Either<HttpFailure, HttpMessageResponse> {
        val request = ClientRequest(
            method = "POST",
            address = server.address,
            path = "/",
            body = ByteArray(LARGE_BODY_BYTES),
            dedicatedConnection = isDedicated,
        )
        return testSubject.exchange(request).get(LIMIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Calls [check] with the results of uploads to a server that sends [response] and runs [end], early or late. */
    private fun uploadOften(
        response: String,
        end: (Socket) -> Unit,
        check: (Either<HttpFailure, HttpMessageResponse>) -> Unit,
    ) {
        listOf(0L, 1L, PAUSE_MILLIS).forEach { pauseMillis ->
            val server = RawServer { socket ->
                RawServer.readRequest(socket)
                RawServer.send(socket, response)
                Thread.sleep(pauseMillis)
                end(socket)
            }
            server.use {
                repeat(UPLOADS) { number ->
                    withClue("pause $pauseMillis ms, upload $number") {
                        check(upload(server, isDedicated = number % 2 == 0))
                    }
                }
            }
        }
    }

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Ends the output, and reads nothing more until the client closes. */
    private fun endOutput(socket: Socket) {
        socket.shutdownOutput()
        Thread.sleep(PAUSE_MILLIS)
    }

    @Test
    fun `a reset doesn't complete a response without a length`() {
        uploadOften(response = "HTTP/1.1 200 OK\r\n\r\npart", end = ::reset) { result ->
            result.leftOrNull().shouldNotBeNull().sent shouldBe true
        }
    }

    // A close with bytes of the request unread is a reset on the wire.
    @Test
    fun `a close during the upload doesn't complete a response without a length`() {
        uploadOften(response = "HTTP/1.1 200 OK\r\n\r\npart", end = { it.close() }) { result ->
            result.leftOrNull().shouldNotBeNull().sent shouldBe true
        }
    }

    @Test
    fun `an end of the output before the upload is written doesn't complete a response without a length`() {
        uploadOften(response = "HTTP/1.1 200 OK\r\n\r\npart", end = ::endOutput) { result ->
            result.leftOrNull().shouldNotBeNull().sent shouldBe true
        }
        uploadOften(response = "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n", end = ::endOutput) { result ->
            result.leftOrNull().shouldNotBeNull().sent shouldBe true
        }
    }

    @Test
    fun `a cut response with a length or chunks isn't complete either`() {
        val heads = listOf("Content-Length: 5\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
        heads.forEach { head ->
            listOf(::reset, ::endOutput).forEach { end ->
                uploadOften(response = "HTTP/1.1 200 OK\r\n$head", end = end) { result ->
                    result.leftOrNull().shouldNotBeNull().sent shouldBe true
                }
            }
        }
    }

    // Guards against a response that is lost as a write fails before it is read, and against a stuck reused connection.
    @Test
    fun `a complete response with a length or chunks is believed, whatever happens to the connection after it`() {
        val heads = listOf("Content-Length: 4\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n")
        val ends = listOf<(Socket) -> Unit>(::reset, ::endOutput, { it.close() }, { Thread.sleep(LONG_PAUSE_MILLIS) })
        heads.forEach { head ->
            ends.forEach { end ->
                uploadOften(response = "HTTP/1.1 413 Too Large\r\n$head", end = end) { result ->
                    result.map { it.status to it.text() } shouldBe (413 to "part").right()
                }
            }
        }
    }

    @Test
    fun `a clean end after the whole upload completes a response without a length`() {
        val server = RawServer { socket ->
            RawServer.readRequest(socket)
            socket.getInputStream().readNBytes(LARGE_BODY_BYTES)
            RawServer.send(socket, "HTTP/1.1 200 OK\r\n\r\nwhole")
        }
        server.use {
            repeat(UPLOADS) { number ->
                upload(server, isDedicated = number % 2 == 0).getOrNull()?.text() shouldBe "whole"
            }
        }
    }

    private companion object {
        const val LARGE_BODY_BYTES = 16_000_000
        const val UPLOADS = 10
        const val PAUSE_MILLIS = 20L
        const val LONG_PAUSE_MILLIS = 200L
        const val LIMIT_SECONDS = 10L
    }
}
