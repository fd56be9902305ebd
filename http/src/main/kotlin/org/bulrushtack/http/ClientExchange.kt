package org.bulrushtack.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.bulrushtack.http.syntax.MalformedResponseException
import org.bulrushtack.http.syntax.ResponseSyntaxHandler
import java.io.IOException

/**
 * One request on one connection; [onIdle] gets the connection back after a complete response. A request that [mayWrite]
 * no longer allows once the connection is open is not sent.
 */
internal class ClientExchange(
    private val request: ClientRequest,
    private val listener: ResponseListener,
    private val onIdle: (String, Channel) -> Unit,
    private val malformedResponses: MalformedResponseObserver = LoggingMalformedResponseObserver,
    private val mayWrite: () -> Boolean = { true },
) : SimpleChannelInboundHandler<HttpObject>(), ClientCall {
    private val progress = RequestProgress()

    @Volatile
    private var channel: Channel? = null
    private var keepAlive = true
    private var informational = false
    private var isWritten = false

    @Volatile
    private var writeFailure: String? = null

    /** Sends the request, unless it is finished or may not be written any more; must run on the connection's thread. */
    fun start(connected: Channel) {
        channel = connected
        if (!progress.isFinished && !mayWrite()) abort("the request may not be written any more")
        if (!progress.markSent()) {
            connected.close()
            return
        }
        connected.pipeline().get(IdleConnectionHandler::class.java)?.let { connected.pipeline().remove(it) }
        connected.pipeline().get(ResponseSizeLimiter::class.java)?.expectHead()
        connected.pipeline().get(ResponseSyntaxHandler::class.java)
            ?.expectResponse(isHeadRequest = request.method == HttpMethod.HEAD.name())
        connected.pipeline().addLast(this)
        connected.writeAndFlush(ClientMessage.of(request)).addListener { written ->
            val reason = "the request could not be sent: ${written.cause()}"
            isWritten = written.isSuccess
            when {
                isWritten -> Unit
                // The server may have responded before it stopped reading; what has arrived is still to be read.
                written.cause() is IOException && connected.config().isAutoRead -> writeFailure = reason
                else -> abort(reason)
            }
        }
    }

    override val isSent: Boolean get() = progress.isSent

    /** The connection that is to bring the response, or null if there is none yet or no longer. */
    val awaitedChannel: Channel? get() = channel.takeUnless { progress.isFinished }

    override fun cancel() = abort(reason = "cancelled")

    /**
     * Fails the exchange from this side. After a complete response this does nothing, since the connection may serve
     * another request by then.
     */
    fun abort(reason: String, connectionRefused: Boolean = false) {
        val isFirst = fail { HttpFailure(sent = it, reason = reason, connectionRefused = connectionRefused) }
        if (isFirst) channel?.close()
    }

    /** After a failed write, only what has arrived is left to read, and a pause would hide the connection's end. */
    override fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading || writeFailure != null
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (progress.isFinished) return
        if (message is HttpResponse) informational = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
        when {
            message.decoderResult().isFailure -> throw MalformedResponseException(
                breach = "the codec fails with ${message.decoderResult().cause().javaClass.simpleName}",
            )
            message is HttpResponse && message.status() == HttpResponseStatus.SWITCHING_PROTOCOLS ->
                abort("the server switches to another protocol")
            message is HttpResponse && declaredBytes(request.method, message) > request.maximumResponseBytes ->
                abort("the response declares more than ${request.maximumResponseBytes} bytes")
            !informational -> read(context = context, message = message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail { HttpFailure(sent = true, reason = writeFailure ?: "connection closed", closedByPeer = true) }
        super.channelInactive(context)
    }

    @Deprecated("Netty's own deprecation of the inherited function")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val isMalformed = cause is MalformedResponseException
        val reason = if (isMalformed) "malformed response: ${cause.message}" else cause.toString()
        val isFirst = fail {
            HttpFailure(sent = true, reason = reason, closedByPeer = cause is IOException, malformed = isMalformed)
        }
        if (isFirst && isMalformed) malformedResponses.onMalformedResponse(request.address, cause.message.orEmpty())
        context.close()
    }

    private fun read(context: ChannelHandlerContext, message: HttpObject) {
        val limiter = context.pipeline().get(ResponseSizeLimiter::class.java)
        if (message is HttpResponse) {
            limiter?.expectBody(request.maximumResponseBytes)
            keepAlive = HttpUtil.isKeepAlive(message)
            val headers = message.headers().entries().map { HttpHeaderList.Header(name = it.key, value = it.value) }
            listener.onHead(status = message.status().code(), headers = HttpHeaderList(entries = headers))
        }
        if (message is HttpContent && message.content().isReadable) {
            listener.onData(ByteBufUtil.getBytes(message.content()))
        }
        if (message is LastHttpContent) {
            limiter?.responseReceived()
            complete(context)
        }
    }

    /** A connection on which a part of the request is still to be written carries no other request. */
    private val mayReturn: Boolean get() = keepAlive && isWritten && !request.dedicatedConnection

    /** A response that ends with the connection is not complete if a part of the request is still to be written. */
    private fun complete(context: ChannelHandlerContext) {
        val isCutShort = !isWritten && !context.channel().isActive
        if (isCutShort || progress.finish() == null) return
        val isReusable = context.pipeline().get(ResponseSyntaxHandler::class.java)?.isReusable ?: true
        if (isReusable && mayReturn) {
            context.pipeline().replace(this, null, IdleConnectionHandler())
            onIdle(request.address, context.channel())
        } else {
            context.close()
        }
        listener.onComplete()
    }

    private fun fail(failure: (isSent: Boolean) -> HttpFailure): Boolean {
        val wasSent = progress.finish()
        if (wasSent != null) listener.onFailure(failure(wasSent))
        return wasSent != null
    }
}

/** The length of the body that [response] announces; 0 where the announced body is never sent. */
private fun declaredBytes(requestMethod: String, response: HttpResponse): Long {
    val isBodySent = requestMethod != HttpMethod.HEAD.name() && response.status() !in STATUSES_WITHOUT_BODY
    return if (isBodySent) HttpUtil.getContentLength(response, 0L) else 0L
}

private val STATUSES_WITHOUT_BODY = setOf(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED)
