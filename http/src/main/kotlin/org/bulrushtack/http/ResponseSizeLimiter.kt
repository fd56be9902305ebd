package org.bulrushtack.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.TooLongHttpContentException

/**
 * Limits the bytes that a server may send before the head of its final response is complete, and from there to the end
 * of the response. The codec limits each line and each head, but neither blank lines nor the number of informational
 * responses, and bodies not at all. The framing of a body counts, since extensions of chunks can outweigh what they
 * carry.
 */
internal class ResponseSizeLimiter : ChannelInboundHandlerAdapter() {
    private var limitBytes = Long.MAX_VALUE
    private var receivedBytes = 0L

    /** Starts to count for the head of the next response. */
    fun expectHead() = expect(MAXIMUM_HEAD_BYTES)

    /** Starts to count for a body of up to [maximumBytes]. */
    fun expectBody(maximumBytes: Long) = expect(maximumBytes)

    /** Ends the limit, as the response is complete. */
    fun responseReceived() = expect(Long.MAX_VALUE)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) receivedBytes += message.readableBytes()
        super.channelRead(context, message)
        if (receivedBytes > limitBytes) {
            context.fireExceptionCaught(TooLongHttpContentException("the response exceeds $limitBytes bytes"))
        }
    }

    private fun expect(bytes: Long) {
        limitBytes = bytes
        receivedBytes = 0
    }
}

/** Four times what the codec allows for the largest head, in bytes. */
private const val MAXIMUM_HEAD_BYTES = 49_152L
