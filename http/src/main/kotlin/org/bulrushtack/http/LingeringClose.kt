package org.bulrushtack.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/**
 * Ends a connection whose client may still send: a close with unread bytes resets the connection, and the reset can
 * destroy the response on its way. All input is discarded until the client closes too, within limits.
 */
internal class LingeringClose private constructor() : ChannelInboundHandlerAdapter() {
    private var discardedBytes = 0L

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) discardedBytes += message.readableBytes()
        ReferenceCountUtil.release(message)
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) context.close()
    }

    companion object {
        /** The longest time that a client is given to read a response and close, in milliseconds. */
        const val DEFAULT_MILLIS = 2_000L

        /** Sends what was written to [channel] and the end of the output, and closes after at most [millis]. */
        fun start(channel: Channel, millis: Long = DEFAULT_MILLIS) {
            val pipeline = channel.pipeline()
            val timeout = channel.eventLoop().schedule({ channel.close() }, millis, TimeUnit.MILLISECONDS)
            channel.closeFuture().addListener { timeout.cancel(false) }
            if (!channel.isActive || pipeline.get(LingeringClose::class.java) != null) return
            pipeline.addFirst(LingeringClose())
            channel.config().isAutoRead = true
            pipeline.firstContext().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
                (channel as DuplexChannel).shutdownOutput()
            }
        }
    }
}

/** Twice the largest default body, in bytes. */
private const val MAXIMUM_DISCARDED_BYTES = 16_777_216L
