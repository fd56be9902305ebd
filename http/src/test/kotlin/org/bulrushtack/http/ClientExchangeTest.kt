package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.local.LocalChannel
import io.netty.channel.local.LocalIoHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.atomic.AtomicBoolean

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
    fun `a request is asked about once it has a connection, and not after it was aborted`() {
        val asked = mutableListOf<String>()
        val refused = ClientExchange(request, FakeResponseListener(), onIdle = { _, _ -> }, mayWrite = {
            asked.add("refused")
            false
        })
        val aborted = ClientExchange(request, FakeResponseListener(), onIdle = { _, _ -> }, mayWrite = {
            asked.add("aborted")
            true
        })
        val channels = List(2) { EmbeddedChannel() }

        refused.start(channels.first())
        aborted.abort(reason = "timed out")
        aborted.start(channels.last())

        asked shouldBe listOf("refused")
        channels.map { it.isOpen } shouldBe listOf(false, false)
        channels.sumOf { it.outboundMessages().size } shouldBe 0
        refused.isSent shouldBe false
    }

    // Guards against a booking that is sent again, since a timeout on another thread took the first one for not sent.
    @Test
    fun `a request that is aborted while it is being sent is reported as not sent only if nothing was written`() {
        val group = MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory())
        repeat(ABORTED_SENDS) { number ->
            val written = AtomicBoolean(false)
            val channel = LocalChannel().apply { pipeline().addLast(WriteRecorder(written)) }
            group.register(channel).sync()
            val listener = FakeResponseListener()
            val testSubject = ClientExchange(request, listener, onIdle = { _, _ -> })

            val start = channel.eventLoop().submit { testSubject.start(channel) }
            repeat(number % MAXIMUM_SPINS) { Thread.onSpinWait() }
            testSubject.abort(reason = "timed out")
            start.sync()

            if (written.get()) listener.failures.single().sent shouldBe true
            channel.close().sync()
        }
        group.shutdownGracefully()
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

    // Guards against a transport that reports the end of the connection before the failure of what it had to write.
    @Test
    fun `a response that the connection ends before the request is written is not complete`() {
        val channel = EmbeddedChannel(WriteHolder(), HttpClientCodec())
        val listener = FakeResponseListener()
        ClientExchange(request, listener, onIdle = { _, _ -> }).start(channel)
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\npart".toByteArray()))

        channel.close()

        listener.body shouldBe "part"
        listener.isComplete shouldBe false
        listener.failures.single().sent shouldBe true
    }

    /** Never completes a write. */
    private class WriteHolder : ChannelOutboundHandlerAdapter() {
        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            ReferenceCountUtil.release(message)
        }
    }

    /** Records whether a message was written, and drops it. */
    private class WriteRecorder(
        private val written: AtomicBoolean,
    ) : ChannelOutboundHandlerAdapter() {
        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            written.set(true)
            ReferenceCountUtil.release(message)
            promise.setSuccess()
        }
    }

    private companion object {
        const val ABORTED_SENDS = 20_000

        /** Lets the abort meet each step of the start. */
        const val MAXIMUM_SPINS = 2_000
    }
}
