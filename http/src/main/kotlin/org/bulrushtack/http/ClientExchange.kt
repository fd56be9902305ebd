package org.bulrushtack.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.atomic.AtomicBoolean

/** One request on one connection; [onIdle] gets the connection back after a whole answer. */
internal class ClientExchange(
    private val request: ClientRequest,
    private val listener: ResponseListener,
    private val onIdle: (String, Channel) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>(), ClientCall {
    private val ended = AtomicBoolean(false)

    @Volatile
    private var channel: Channel? = null
    private var keepAlive = true

    /** Sends the request; runs on the connection's thread. */
    fun start(connected: Channel) {
        channel = connected
        if (ended.get()) {
            connected.close()
            return
        }
        connected.pipeline().addLast(this)
        connected.writeAndFlush(message())
    }

    fun failUnsent(reason: String) = fail(sent = false, reason = reason)

    fun timeOut() {
        fail(sent = channel != null, reason = "timed out")
        channel?.close()
    }

    override fun cancel() {
        fail(sent = channel != null, reason = "cancelled")
        channel?.close()
    }

    override fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (ended.get()) return
        if (message.decoderResult().isFailure) {
            fail(sent = true, reason = "malformed answer")
            context.close()
            return
        }
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent) readBody(context = context, content = message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail(sent = true, reason = "connection closed")
        super.channelInactive(context)
    }

    @Deprecated("Netty's own deprecation of the inherited function")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(sent = true, reason = cause.toString())
        context.close()
    }

    private fun readHead(response: HttpResponse) {
        keepAlive = HttpUtil.isKeepAlive(response)
        val headers = response.headers().entries().map { HttpHeaderList.Header(name = it.key, value = it.value) }
        listener.onHead(status = response.status().code(), headers = HttpHeaderList(entries = headers))
    }

    private fun readBody(context: ChannelHandlerContext, content: HttpContent) {
        if (content.content().isReadable) listener.onData(ByteBufUtil.getBytes(content.content()))
        if (content is LastHttpContent) complete(context)
    }

    private fun complete(context: ChannelHandlerContext) {
        if (!ended.compareAndSet(false, true)) return
        context.pipeline().remove(this)
        if (keepAlive && !request.fresh) onIdle(request.address, context.channel()) else context.close()
        listener.onEnd()
    }

    private fun fail(sent: Boolean, reason: String) {
        if (ended.compareAndSet(false, true)) listener.onFailure(HttpFailure(sent = sent, reason = reason))
    }

    private fun message(): DefaultFullHttpRequest {
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.path,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers().set(HttpHeaderNames.HOST, request.address)
        if (request.body.isNotEmpty()) message.headers().set(HttpHeaderNames.CONTENT_TYPE, request.contentType)
        HttpUtil.setContentLength(message, request.body.size.toLong())
        request.headers.entries.forEach { message.headers().add(it.name, it.value) }
        return message
    }
}
