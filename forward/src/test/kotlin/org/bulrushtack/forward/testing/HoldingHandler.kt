package org.bulrushtack.forward.testing

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.util.concurrent.TimeUnit

/** Holds back what a new connection receives in its first [millis]. */
internal class HoldingHandler(
    private val millis: Long,
) : ChannelInboundHandlerAdapter() {
    private val held = ArrayDeque<Any>()
    private var isHolding = false

    override fun channelActive(context: ChannelHandlerContext) {
        isHolding = millis > 0
        if (isHolding) context.executor().schedule({ release(context) }, millis, TimeUnit.MILLISECONDS)
        super.channelActive(context)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isHolding) held.add(message) else super.channelRead(context, message)
    }

    private fun release(context: ChannelHandlerContext) {
        isHolding = false
        generateSequence { held.removeFirstOrNull() }.forEach { context.fireChannelRead(it) }
        context.fireChannelReadComplete()
    }
}
