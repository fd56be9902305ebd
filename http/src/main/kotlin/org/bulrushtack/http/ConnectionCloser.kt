package org.bulrushtack.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.atomic.AtomicReference

/** Closes one connection, records why, and tells [observer] about the end if a response is owed then. */
internal class ConnectionCloser(
    private val observer: ConnectionObserver,
) {
    private val cause = AtomicReference<ConnectionEndCause>()
    private var droppedRequests = 0

    /** Whether this side closes the connection, so that no further request is read from it. */
    val isClosing: Boolean get() = cause.get() != null

    /** Records that this side closes the connection because of [cause]; the first cause counts. Any thread. */
    fun closing(cause: ConnectionEndCause) {
        this.cause.compareAndSet(null, cause)
    }

    /** Records that a response announces the close unless [keepAlive]; returns [keepAlive]. */
    fun announceUnless(keepAlive: Boolean): Boolean {
        if (!keepAlive) closing(ConnectionEndCause.ANNOUNCED)
        return keepAlive
    }

    /** Closes [channel] because of [cause]; its client has [millis] to read what was written. */
    fun close(channel: Channel, cause: ConnectionEndCause, millis: Long = LingeringClose.DEFAULT_MILLIS) {
        closing(cause)
        LingeringClose.start(channel = channel, millis = millis)
    }

    /** Sends the final [response] to a request that could not be read and closes [channel]. */
    fun refuse(channel: Channel, response: HttpMessageResponse) {
        closing(ConnectionEndCause.ERROR_RESPONSE)
        channel.writeAndFlush(ServerExchange.message(response = response, keepAlive = false))
            .addListener {
                LingeringClose.start(channel)
                // The codec may hold much of an unfinished request. It goes at once, as others wait for the memory.
                val pipeline = channel.pipeline()
                pipeline.get(HttpServerCodec::class.java)?.let { pipeline.remove(it) }
            }
    }

    /** Counts a [message] that crossed the announced close; its request is not handled. */
    fun drop(message: HttpObject) {
        if (message is LastHttpContent && cause.get() == ConnectionEndCause.ANNOUNCED) droppedRequests += 1
    }

    /** Reports the end of the connection with the [exchange] and the [pipelined] messages that it left behind. */
    fun ended(context: ChannelHandlerContext, exchange: ServerExchange?, pipelined: PipelinedMessages) {
        val isUnanswered = exchange != null && !exchange.isAnswered
        val heldRequests = pipelined.requests + droppedRequests
        if (!isUnanswered && heldRequests == 0) return
        val ownCause = if (context.executor().isShuttingDown) ConnectionEndCause.EXIT else cause.get()
        observer.onResponseLost(
            ConnectionEnd(
                cause = ownCause ?: ConnectionEndCause.PEER,
                isUnanswered = isUnanswered,
                heldRequests = heldRequests,
                unreadBytes = pipelined.bytes,
            ),
        )
    }
}
