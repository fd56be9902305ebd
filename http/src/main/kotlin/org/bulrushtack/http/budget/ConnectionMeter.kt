package org.bulrushtack.http.budget

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Records what arrives on the connection of [account]. */
internal class ConnectionMeter(
    val account: ConnectionAccount,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) account.received(message.readableBytes(), System.nanoTime())
        super.channelRead(context, message)
    }
}
