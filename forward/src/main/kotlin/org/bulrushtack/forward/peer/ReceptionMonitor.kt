package org.bulrushtack.forward.peer

import io.netty.channel.ChannelHandler.Sharable
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Remembers when the successive connections of one channel last received anything. */
@Sharable
internal class ReceptionMonitor : ChannelInboundHandlerAdapter() {
    @Volatile
    private var receivedAtNanos = System.nanoTime()

    /** Whether anything was received since [nanoTime], a [System.nanoTime]. */
    fun hasReceivedSince(nanoTime: Long): Boolean = receivedAtNanos - nanoTime >= 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        receivedAtNanos = System.nanoTime()
        super.channelRead(context, message)
    }
}
