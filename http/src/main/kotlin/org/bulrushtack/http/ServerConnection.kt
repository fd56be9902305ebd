package org.bulrushtack.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Collects the requests of one connection and hands them over one at a time. */
internal class ServerConnection(
    private val limits: HttpLimits,
    private val handler: HttpHandler,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var timer: ScheduledFuture<*>? = null
    private var exchange: ServerExchange? = null
    private var failed = false
    private val stashed = ArrayDeque<HttpObject>()

    override fun channelActive(context: ChannelHandlerContext) {
        startTimer(context = context, millis = limits.requestMillis)
        super.channelActive(context)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (exchange == null) take(context = context, message = message) else stash(context = context, message = message)
    }

    private fun take(context: ChannelHandlerContext, message: HttpObject) {
        if (failed) return
        val fault = faultOf(message)
        if (fault != null) {
            fail(context = context, fault = fault)
            return
        }
        if (message is HttpRequest) begin(context = context, request = message)
        if (message is HttpContent && !failed) collect(context = context, content = message)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) exchange?.writable()
        super.channelWritabilityChanged(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        dropBody()
        stashed.forEach { ReferenceCountUtil.release(it) }
        stashed.clear()
        exchange?.closed()
        exchange = null
        super.channelInactive(context)
    }

    @Deprecated("Netty's own deprecation of the inherited function")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun faultOf(message: HttpObject): HttpFault? {
        val cause = message.decoderResult().cause() ?: return null
        val tooLarge = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        return if (tooLarge) HttpFault.HEADERS_TOO_LARGE else HttpFault.MALFORMED
    }

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        startTimer(context = context, millis = limits.requestMillis)
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes) {
            fail(context = context, fault = HttpFault.BODY_TOO_LARGE)
            return
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        head = request
        body = context.alloc().compositeBuffer(MAXIMUM_PARTS)
    }

    private fun collect(context: ChannelHandlerContext, content: HttpContent) {
        val collected = body ?: return
        if (collected.readableBytes() + content.content().readableBytes() > limits.bodyBytes) {
            fail(context = context, fault = HttpFault.BODY_TOO_LARGE)
            return
        }
        collected.addComponent(true, content.content().retain())
        if (content is LastHttpContent) complete(context = context)
    }

    private fun complete(context: ChannelHandlerContext) {
        timer?.cancel(false)
        val request = head ?: return
        val bytes = body?.let { ByteBufUtil.getBytes(it) } ?: ByteArray(0)
        dropBody()
        head = null
        val next = ServerExchange(
            request = message(request = request, bytes = bytes),
            channel = context.channel(),
            keepAlive = HttpUtil.isKeepAlive(request),
            onEnd = { ended(context) },
        )
        exchange = next
        handler.handle(next)
    }

    /** Pipelined requests wait; when many do, the rest waits in the socket and not in memory. */
    private fun stash(context: ChannelHandlerContext, message: HttpObject) {
        stashed.addLast(ReferenceCountUtil.retain(message))
        if (stashed.size >= MAXIMUM_STASHED) context.channel().config().isAutoRead = false
    }

    private fun ended(context: ChannelHandlerContext) {
        exchange = null
        startTimer(context = context, millis = limits.idleMillis)
        while (exchange == null && stashed.isNotEmpty()) {
            val message = stashed.removeFirst()
            take(context = context, message = message)
            ReferenceCountUtil.release(message)
        }
        if (stashed.size < MAXIMUM_STASHED) context.channel().config().isAutoRead = true
    }

    private fun message(request: HttpRequest, bytes: ByteArray): HttpMessageRequest {
        val target = QueryStringDecoder(request.uri())
        return HttpMessageRequest(
            method = request.method().name(),
            path = target.path(),
            query = target.parameters().mapValues { (_, values) -> values.first() },
            headers = HttpHeaderList(
                entries = request.headers().entries().map { HttpHeaderList.Header(name = it.key, value = it.value) },
            ),
            body = bytes,
        )
    }

    private fun fail(context: ChannelHandlerContext, fault: HttpFault) {
        failed = true
        timer?.cancel(false)
        dropBody()
        val answer = handler.answerFault(fault)
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status),
            Unpooled.wrappedBuffer(answer.body),
        )
        ServerExchange.fillHeaders(response = response, contentType = answer.contentType, headers = answer.headers)
        HttpUtil.setContentLength(response, answer.body.size.toLong())
        HttpUtil.setKeepAlive(response, false)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun startTimer(context: ChannelHandlerContext, millis: Long) {
        timer?.cancel(false)
        timer = context.executor().schedule({ timeOut(context) }, millis, TimeUnit.MILLISECONDS)
    }

    private fun timeOut(context: ChannelHandlerContext) {
        if (exchange != null) return
        if (head == null) context.close() else fail(context = context, fault = HttpFault.INCOMPLETE)
    }

    private fun dropBody() {
        body?.release()
        body = null
    }
}

private const val MAXIMUM_PARTS = 1_024
private const val MAXIMUM_STASHED = 32
