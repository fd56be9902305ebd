package org.bulrushtack.http.budget

import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Takes new connections to a port of [role] within [budget]. It stands first in the pipeline of the listening channel.
 */
@ChannelHandler.Sharable
public class AcceptGate(
    private val budget: ResourceBudget,
    private val role: PortRole,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val accepted = message as Channel
        val account = budget.sockets.tryOpen(budget, role, accepted)
        if (account == null) {
            accepted.unsafe().closeForcibly()
        } else {
            accepted.pipeline().addFirst(ConnectionMeter(account))
            super.channelRead(context, message)
        }
    }
}
