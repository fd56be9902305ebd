package org.bulrushtack.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

/** Sends requests to servers whose fields or framing are malformed, ambiguous or unusual. */
class MalformedFieldTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)
    private val testSubject = HttpClient(group)

    @AfterAll
    fun closeGroup() {
        group.shutdownGracefully()
    }

    private fun exchange(server: RawServer, method: String = "GET") = testSubject
        .exchange(ClientRequest(method = method, address = server.address, path = "/"))
        .get(LIMIT_SECONDS, TimeUnit.SECONDS)

    private fun serving(response: String) = RawServer { socket ->
        while (RawServer.readRequest(socket)) RawServer.send(socket, response)
    }

    private fun shouldBeNoResponse(clue: String, response: String, method: String = "GET") = withClue(clue) {
        serving(response).use { server ->
            repeat(CALLS) { exchange(server, method).leftOrNull().shouldNotBeNull().sent shouldBe true }

            server.accepted.get() shouldBe CALLS
        }
    }

    @Test
    fun `a field whose name is no token leaves no response, in the head and in the trailers`() {
        MALFORMED_LINES.forEach { line ->
            val clue = "line '$line'"
            shouldBeNoResponse("$clue first", "HTTP/1.1 200 OK\r\n$line\r\nContent-Length: 4\r\n\r\nbody")
            shouldBeNoResponse("$clue last", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n$line\r\n\r\nbody")
            shouldBeNoResponse("$clue in a trailer", "$CHUNKED\r\n4\r\nbody\r\n0\r\n$line\r\n\r\n")
            shouldBeNoResponse("$clue in an informational head", "HTTP/1.1 103 Early\r\n$line\r\n\r\n$SOUND")
        }
    }

    @Test
    fun `a field whose value holds a control byte other than a tab leaves no response`() {
        val controls = (0..0x1f).map { it.toChar() }.filter { it !in "\t\n" } + '\u007f'
        controls.forEach { control ->
            listOf("X-Value: a${control}b", "X-Value: $control", "X-Value: a$control").forEach { line ->
                val clue = "control ${control.code} in '$line'"
                shouldBeNoResponse(clue, "HTTP/1.1 200 OK\r\n$line\r\nContent-Length: 4\r\n\r\nbody")
                shouldBeNoResponse("$clue in a trailer", "$CHUNKED\r\n4\r\nbody\r\n0\r\n$line\r\n\r\n")
            }
        }
    }

    @Test
    fun `lengths and codings that contradict each other or are ambiguous frame no response`() {
        val lines = listOf(
            "Content-Length: +4", "Content-Length: -4", "Content-Length: 0x4", "Content-Length: 4.0",
            "Content-Length: 4 4", "Content-Length: 4,", "Content-Length:", "Content-Length: 4, 4",
            "Content-Length: 4, 5", "Content-Length: \u0664", "Content-Length: 99999999999999999999",
            "Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4\r\ncontent-length: 4",
            "Content-Length: 4\r\n 0", "Content-Length:\r\n 4", "X-A: a\r\n Content-Length: 4",
            "Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: xchunked",
            "Transfer-Encoding: chunked;a=b", "Transfer-Encoding: \"chunked\"", "Transfer-Encoding:",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
            "Transfer-Encoding: chunked\r\nContent-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "Content-Length: 4\r\nTransfer-Encoding: identity", "Transfer-Encoding: chu\r\n nked",
        )
        lines.forEach { line ->
            listOf("body", "4\r\nbody\r\n0\r\n\r\n").forEach { body ->
                listOf("GET", "HEAD").forEach { method ->
                    shouldBeNoResponse("$method, '$line'", "HTTP/1.1 200 OK\r\n$line\r\n\r\n$body", method)
                }
            }
        }
        shouldBeNoResponse("version 1.0", "HTTP/1.0 200 OK\r\n${CODING}\r\n4\r\nbody\r\n0\r\n\r\n")
        listOf("Transfer-Encoding: chunked", "Content-Length: 4").forEach { line ->
            shouldBeNoResponse("204, '$line'", "HTTP/1.1 204 No Content\r\n$line\r\n\r\n")
            shouldBeNoResponse("103, '$line'", "HTTP/1.1 103 Early Hints\r\n$line\r\n\r\n$SOUND")
        }
    }

    @Test
    fun `malformed chunks frame no response`() {
        val bodies = listOf(
            "+4\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n",
            "4 4\r\nbody\r\n0\r\n\r\n", "g\r\nbody\r\n0\r\n\r\n", "\r\nbody\r\n0\r\n\r\n", ";a=b\r\nbody\r\n0\r\n\r\n",
            "10000000000000004\r\nbody\r\n0\r\n\r\n", "4;a=\u0001\r\nbody\r\n0\r\n\r\n", "4\u0001\r\nbody\r\n0\r\n\r\n",
            "4\r\nbody0\r\n\r\n", "4\r\nbodyXX0\r\n\r\n", "4\r\nbody\n\r0\r\n\r\n", "4\nbody\r\n0\r\n\r\n",
            "4\r\nbody\r\n-0\r\n\r\n", "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n",
            "4\r\nbody\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n folded\r\n\r\n",
        )
        bodies.forEach { body -> shouldBeNoResponse("body '$body'", "$CHUNKED\r\n$body") }
    }

    @Test
    fun `a line feed alone ends no line`() {
        shouldBeNoResponse("status line", "HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody")
        shouldBeNoResponse("field", "HTTP/1.1 200 OK\r\nX-A: a\nContent-Length: 4\r\n\r\nbody")
        shouldBeNoResponse("head", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nbody")
        shouldBeNoResponse("trailer", "$CHUNKED\r\n4\r\nbody\r\n0\r\nX-A: a\n\r\n")
    }

    @Test
    fun `unusual but valid fields and framing reach the caller unchanged`() {
        val fields = mapOf(
            "X-Empty:" to "",
            "X-Blank:   " to "",
            "X-Tab:\ta\tb\t" to "a\tb",
            "X-Obsolete: caf\u00e9 \u20ac" to "caf\u00e9 \u20ac",
            "x!#$%&'*+-.^_`|~9: odd name" to "odd name",
            "X-Colons: a:b::c" to "a:b::c",
            "X-No-Blank:a" to "a",
            "X-Folded: a\r\n b" to "a b",
            "Date: x\r\nX-After: y" to "x",
        )
        fields.forEach { (line, value) ->
            withClue("line '$line'") {
                val head = "HTTP/1.1 200 OK\r\n$line\r\n"
                val framed = mapOf("Content-Length: 4\r\n\r\nbody" to 1, "$CODING\r\n4\r\nbody\r\n0\r\n\r\n" to 1)
                framed.forEach { (rest, connections) ->
                    serving(head + rest).use { server ->
                        repeat(CALLS) {
                            val response = exchange(server).getOrNull().shouldNotBeNull()

                            val received = response.headers.find(line.substringBefore(':')).shouldNotBeNull()
                            received.toByteArray(Charsets.ISO_8859_1).decodeToString() shouldBe value
                            response.text() shouldBe "body"
                        }
                        server.accepted.get() shouldBe connections
                    }
                }
            }
        }
    }

    @Test
    fun `unusual but valid framing is read to the end of its body`() {
        val responses = listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: 0004\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED\r\n\r\n04\r\nbody\r\n000\r\n\r\n",
            "$CHUNKED\r\n2;a=\"b;c\"\r\nbo\r\n2 ; d\r\ndy\r\n0;e\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 \r\n\r\n$SOUND",
            "HTTP/1.1 205 Reset Content\r\nContent-Length: 4\r\n\r\nbody",
        )
        responses.forEach { response ->
            withClue(response) {
                serving(response).use { server ->
                    repeat(CALLS) { exchange(server).getOrNull().shouldNotBeNull().text() shouldBe "body" }
                    server.accepted.get() shouldBe 1
                }
            }
        }
        val empty = mapOf(
            "HTTP/1.1 204 No Content\r\n\r\n" to "GET",
            "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n" to "GET",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n" to "GET",
            "HTTP/1.1 304 Not Modified\r\n$CODING\r\n" to "GET",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" to "HEAD",
            "$CHUNKED\r\n" to "HEAD",
        )
        empty.forEach { (response, method) ->
            withClue(response) {
                serving(response).use { server ->
                    repeat(CALLS) { exchange(server, method).getOrNull().shouldNotBeNull().text() shouldBe "" }
                    server.accepted.get() shouldBe 1
                }
            }
        }
    }

    private companion object {
        const val CALLS = 2
        const val LIMIT_SECONDS = 10L
        const val CODING = "Transfer-Encoding: chunked\r\n"
        const val CHUNKED = "HTTP/1.1 200 OK\r\n$CODING"
        const val SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

        val MALFORMED_LINES = listOf(
            "X Bad: 1", "X-Bad : 1", "X-Bad\t: 1", ": 1", " : 1", "X-Bad", "Content-Length : 2", "Content Length: 2",
            "Content-Length\u0000: 2", "Transfer-Encoding\u000b: chunked", "Transfer-Encoding : chunked",
            "X-B\u00e9d: 1", "X(Bad): 1", "X-Bad\u007f: 1", "X-\u0000Bad: 1", "X-\u0001Bad: 1", "\u0001X-Bad: 1",
            "X-Bad\r: 1", "X[Bad]: 1", "X/Bad: 1", "X@Bad: 1", "\"X-Bad\": 1", "X{Bad}: 1", "X;Bad: 1", "X=Bad: 1",
        ) + (0..0x1f).map { it.toChar() }.filter { it !in "\r\n" }.map { "X-B${it}ad: 1" }
    }
}
