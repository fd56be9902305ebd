package org.bulrushtack.http.syntax

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Checks each response before the codec decodes it, since the codec also accepts what is no HTTP. */
internal class ResponseSyntaxHandler : ChannelInboundHandlerAdapter() {
    private val syntax = ResponseSyntax()

    /** Starts to check the next response. */
    fun expectResponse() = syntax.expectResponse()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val isBroken = syntax.brokenRule != null
        if (message is ByteBuf && !isBroken) check(context, message) else super.channelRead(context, message)
    }

    private fun check(context: ChannelHandlerContext, bytes: ByteBuf) {
        val soundBytes = syntax.read(bytes)
        context.fireChannelRead(bytes.writerIndex(bytes.readerIndex() + soundBytes))
        syntax.brokenRule?.let { context.fireExceptionCaught(MalformedResponseException(it.breach)) }
    }
}
