package org.bulrushtack.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Remembers when anything last arrived on a connection; a new connection counts from the time it is opened. */
internal class ReceptionTimeHandler : ChannelInboundHandlerAdapter() {
    @Volatile
    private var receivedAtNanos = System.nanoTime()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        receivedAtNanos = System.nanoTime()
        super.channelRead(context, message)
    }

    companion object {
        /** Whether [channel] was open at [nanos] (of the system's nano time), and nothing has arrived on it since. */
        fun isSilentSince(channel: Channel, nanos: Long): Boolean =
            channel.pipeline().get(ReceptionTimeHandler::class.java)?.let { it.receivedAtNanos - nanos < 0 } ?: false
    }
}
