package org.bulrushtack.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.internal.logging.InternalLoggerFactory
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicBoolean

/**
 * An exchange on a Netty connection; [onComplete] runs on the connection's thread after a complete response.
 * [shouldKeepAlive] is evaluated there when the response starts, with whether it is a stream. [errorResponse] replaces
 * a response that can't be sent.
 */
internal class ServerExchange(
    override val request: HttpMessageRequest,
    private val channel: Channel,
    private val shouldKeepAlive: (isStream: Boolean) -> Boolean,
    private val closer: ConnectionCloser,
    private val errorResponse: () -> HttpMessageResponse,
    private val onComplete: () -> Unit,
) : HttpExchange, ResponseStream {
    private val closedListeners = CopyOnWriteArrayList<() -> Unit>()
    private val writableListeners = CopyOnWriteArrayList<() -> Unit>()
    private val responded = AtomicBoolean(false)
    private var keepAlive = true

    /** Whether the response has started. */
    val isStarted: Boolean get() = responded.get()

    /** Whether the response was written to the network completely. */
    var isAnswered = false
        private set

    override val isWritable: Boolean get() = channel.isWritable
    override val pendingBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    override fun respond(response: HttpMessageResponse) {
        if (!responded.compareAndSet(false, true)) return
        channel.runOnLoop {
            keepAlive = closer.announceUnless(shouldKeepAlive(false))
            val message = runCatching { message(response = response, keepAlive = keepAlive) }.getOrElse { cause ->
                LOGGER.warn("A response can't be sent.", cause)
                message(response = errorResponse(), keepAlive = keepAlive)
            }
            finish(message)
        }
    }

    override fun stream(status: Int, contentType: String?, headers: HttpHeaderList): ResponseStream {
        val message = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        fillHeaders(response = message, contentType = contentType, headers = headers)
        HttpUtil.setTransferEncodingChunked(message, true)
        responded.set(true)
        channel.runOnLoop {
            keepAlive = closer.announceUnless(shouldKeepAlive(true))
            HttpUtil.setKeepAlive(message, keepAlive)
            channel.writeAndFlush(message)
        }
        return this
    }

    override fun onClosed(listener: () -> Unit) {
        closedListeners.add(listener)
    }

    override fun onWritable(listener: () -> Unit) {
        writableListeners.add(listener)
    }

    override fun write(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun end() = channel.runOnLoop { finish(DefaultLastHttpContent()) }

    override fun abort() {
        closer.closing(ConnectionEndCause.ABORTED)
        channel.close()
    }

    fun notifyClosed() = closedListeners.forEach { it() }

    fun notifyWritable() = writableListeners.forEach { it() }

    private fun finish(message: Any) {
        channel.writeAndFlush(message).addListener { written ->
            isAnswered = written.isSuccess
            if (!isAnswered) closer.closing(ConnectionEndCause.of(written.cause()))
            if (!keepAlive || closer.isClosing) LingeringClose.start(channel)
            channel.eventLoop().execute(onComplete)
        }
    }

    companion object {
        /** Builds the complete response message for Netty's codec. */
        fun message(response: HttpMessageResponse, keepAlive: Boolean): FullHttpResponse {
            val message = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status),
                Unpooled.wrappedBuffer(response.body),
            )
            fillHeaders(response = message, contentType = response.contentType, headers = response.headers)
            HttpUtil.setContentLength(message, response.body.size.toLong())
            HttpUtil.setKeepAlive(message, keepAlive)
            return message
        }

        private fun fillHeaders(response: HttpResponse, contentType: String?, headers: HttpHeaderList) {
            contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
            headers.entries.forEach { response.headers().add(it.name, it.value) }
        }
    }
}

private fun Channel.runOnLoop(action: () -> Unit) = try {
    if (eventLoop().inEventLoop()) action() else eventLoop().execute(action)
} catch (stopped: RejectedExecutionException) {
    LOGGER.warn("A response can't be sent, since the network threads have ended.", stopped)
}

private val LOGGER = InternalLoggerFactory.getInstance(ServerExchange::class.java)
