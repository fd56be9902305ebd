package org.bulrushtack.http.syntax

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Compares what the check of responses accepts with what the codec decodes; `-Diterations=` draws more responses. */
class ResponseSyntaxPropertyTest : AnnotationSpec() {
    private val seed = System.getProperty("seed")?.toLong() ?: 1L
    private val iterations = System.getProperty("iterations")?.toInt() ?: DEFAULT_ITERATIONS

    /** Sends [response] in two parts; returns whether the check and the codec each take it for complete. */
    private fun completeness(response: String, split: Int, method: HttpMethod): Pair<Boolean, Boolean> {
        val testSubject = ResponseSyntaxHandler()
        val channel = EmbeddedChannel(testSubject, HttpClientCodec())
        testSubject.expectResponse(isHeadRequest = method == HttpMethod.HEAD)
        channel.writeOutbound(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"))
        channel.releaseOutbound()
        val objects = mutableListOf<Any>()
        listOf(response.take(split), response.drop(split)).forEach { part ->
            // The channel throws the exception by which the handler reports the broken rule.
            runCatching { channel.writeInbound(Unpooled.copiedBuffer(part, Charsets.ISO_8859_1)) }
            objects.addAll(generateSequence { channel.readInbound<Any?>() })
        }
        val isDecoded = isDecoded(objects)
        objects.forEach { ReferenceCountUtil.release(it) }
        val isComplete = testSubject.isReusable
        channel.close()
        channel.releaseInbound()
        return isComplete to isDecoded
    }

    /** An exchange ends where the server switches to another protocol, so that what follows is of no use. */
    private fun isDecoded(objects: List<Any>): Boolean {
        val heads = objects.filterIsInstance<HttpResponse>()
        if (heads.any { it.status() == HttpResponseStatus.SWITCHING_PROTOCOLS }) return true
        val last = heads.lastOrNull()?.status()?.codeClass()
        val ends = objects.count { it is LastHttpContent }
        val isFinal = last != null && last != HttpStatusClass.INFORMATIONAL && ends == heads.size
        return isFinal && objects.none { it is HttpObject && it.decoderResult().isFailure }
    }

    /** Inserts [piece] into [text], or puts it in place of as many characters, as [position] says. */
    private fun change(text: String, position: Int, piece: String): String {
        val start = position / 2 % (text.length + 1)
        val end = if (position % 2 == 0) start else minOf(text.length, start + piece.length)
        return text.replaceRange(start, end, piece)
    }

    // Guards against a response whose end the codec finds elsewhere than the check.
    @Test
    suspend fun `a response that the check takes for complete is complete for the codec`() {
        checkAll(
            PropTestConfig(seed = seed, iterations = iterations),
            Arb.element(TEMPLATES),
            Arb.list(Arb.int(0, LONGEST), 0..MAXIMUM_CHANGES),
            Arb.list(Arb.element(PIECES), MAXIMUM_CHANGES..MAXIMUM_CHANGES),
            Arb.int(0, LONGEST),
            Arb.element(HttpMethod.GET, HttpMethod.HEAD),
        ) { template, positions, pieces, split, method ->
            val response = positions.zip(pieces).fold(template) { text, (at, piece) -> change(text, at, piece) }

            val (isComplete, isDecoded) = completeness(response, split % (response.length + 1), method)

            withClue("$method '$response'") { (isComplete && !isDecoded) shouldBe false }
        }
    }

    private companion object {
        const val DEFAULT_ITERATIONS = 2_000
        const val LONGEST = 300
        const val MAXIMUM_CHANGES = 3
        val TEMPLATES = listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-B: c\r\n\r\n",
            "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 204 No Content\r\nX-Folded: a\r\n b\r\n\r\n",
            "HTTP/1.0 304 Not Modified\r\nContent-Length: 40\r\n\r\n",
        )
        val PIECES = "\t\r\n :;,014-+a\u0000\u0001\u000b\u007f\u0085\u00a0\u00e9".map { "$it" } + listOf(
            "\r\n",
            "\r\n\r\n",
            "\r\n 1",
            "\r\nX:\r\n",
            "205",
            "304",
            "4\r\nbody\r\n",
            "Content-Length: 0\r\n",
            "Content-Length: 4\r\n",
            "HTTP/1.1 200 OK\r\n",
            "Transfer-Encoding: chunked\r\n",
        )
    }
}
