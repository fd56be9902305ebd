package org.bulrushtack.http.syntax

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Checks each response before the codec decodes it, since the codec also accepts what is no HTTP. What comes before the
 * breach of a rule is passed on, so that the result does not depend on how the bytes were split. Bytes that belong to
 * no response end the connection.
 */
internal class ResponseSyntaxHandler : ChannelInboundHandlerAdapter() {
    private val syntax = ResponseSyntax()
    private var hasUnexpectedBytes = false

    /** Whether the connection may carry another request, as all its bytes belong to complete responses. */
    val isReusable: Boolean get() = syntax.isComplete && !hasUnexpectedBytes

    /** Starts to check the response to a request. */
    fun expectResponse(isHeadRequest: Boolean) = syntax.expectResponse(isHeadRequest)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            message !is ByteBuf -> super.channelRead(context, message)
            syntax.brokenRule != null -> ReferenceCountUtil.release(message)
            else -> check(context, message)
        }
    }

    private fun check(context: ChannelHandlerContext, bytes: ByteBuf) {
        val soundBytes = syntax.read(bytes)
        hasUnexpectedBytes = soundBytes < bytes.readableBytes()
        context.fireChannelRead(bytes.writerIndex(bytes.readerIndex() + soundBytes))
        val rule = syntax.brokenRule
        when {
            rule != null -> context.fireExceptionCaught(MalformedResponseException(rule.breach))
            hasUnexpectedBytes -> context.close()
        }
    }
}
