package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

class ClientExchangeTest : AnnotationSpec() {
    private val request = ClientRequest(method = "GET", address = "127.0.0.1:1", path = "/")

    private fun response(status: HttpResponseStatus, body: String = "") =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body.toByteArray()))
            .apply { headers().set("content-length", body.length) }

    @Test
    fun `a timeout after the complete response keeps the pooled connection open`() {
        val channel = EmbeddedChannel()
        val listener = FakeResponseListener()
        val testSubject = ClientExchange(request, listener, onIdle = { _, _ -> })
        testSubject.start(channel)
        channel.writeInbound(response(HttpResponseStatus.OK, body = "whole"))

        testSubject.abort(reason = "timed out")

        channel.isOpen shouldBe true
        listener.body shouldBe "whole"
        listener.failures shouldBe emptyList()
    }

    @Test
    fun `a timeout before the response closes the connection`() {
        val channel = EmbeddedChannel()
        val listener = FakeResponseListener()
        val testSubject = ClientExchange(request, listener, onIdle = { _, _ -> })
        testSubject.start(channel)

        testSubject.abort(reason = "timed out")

        channel.isOpen shouldBe false
        listener.failures shouldBe listOf(HttpFailure(sent = true, reason = "timed out"))
    }

    @Test
    fun `a request that is aborted before it has a connection is reported as not sent`() {
        val channel = EmbeddedChannel()
        val listener = FakeResponseListener()
        val testSubject = ClientExchange(request, listener, onIdle = { _, _ -> })

        testSubject.abort(reason = "timed out")
        testSubject.start(channel)

        channel.isOpen shouldBe false
        channel.outboundMessages().size shouldBe 0
        listener.failures.single().sent shouldBe false
    }

    @Test
    fun `an informational response is skipped`() {
        val channel = EmbeddedChannel()
        val listener = FakeResponseListener()
        ClientExchange(request, listener, onIdle = { _, _ -> }).start(channel)

        channel.writeInbound(response(HttpResponseStatus.CONTINUE), response(HttpResponseStatus.OK, body = "whole"))

        listener.statuses shouldBe listOf(200)
        listener.body shouldBe "whole"
    }
}
