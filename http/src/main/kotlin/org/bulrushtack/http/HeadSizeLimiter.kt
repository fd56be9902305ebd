package org.bulrushtack.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.TooLongHttpHeaderException

/**
 * Limits the bytes that a server may send before the head of its final response is complete. The codec limits each line
 * and each head, but neither blank lines nor the number of informational responses before it.
 */
internal class HeadSizeLimiter : ChannelInboundHandlerAdapter() {
    private var awaitsHead = false
    private var receivedBytes = 0L

    /** Starts to count for the next response. */
    fun expectHead() {
        awaitsHead = true
        receivedBytes = 0
    }

    /** Ends the limit, as the head of the final response is complete. */
    fun headReceived() {
        awaitsHead = false
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (awaitsHead && message is ByteBuf) receivedBytes += message.readableBytes()
        super.channelRead(context, message)
        if (awaitsHead && receivedBytes > MAXIMUM_HEAD_BYTES) {
            context.fireExceptionCaught(TooLongHttpHeaderException("no response within $MAXIMUM_HEAD_BYTES bytes"))
        }
    }
}

/** Four times what the codec allows for the largest head, in bytes. */
private const val MAXIMUM_HEAD_BYTES = 49_152
