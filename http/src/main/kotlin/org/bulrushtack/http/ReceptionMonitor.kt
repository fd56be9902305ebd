package org.bulrushtack.http

import io.netty.channel.ChannelHandler.Sharable
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Remembers when a connection, or the latest of successive ones, last received anything; at first, its creation. */
@Sharable
public class ReceptionMonitor : ChannelInboundHandlerAdapter() {
    @Volatile
    private var receivedAtNanos = System.nanoTime()

    /** Whether anything was received since [nanoTime], a [System.nanoTime]. */
    public fun hasReceivedSince(nanoTime: Long): Boolean = receivedAtNanos - nanoTime >= 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        receivedAtNanos = System.nanoTime()
        super.channelRead(context, message)
    }
}
