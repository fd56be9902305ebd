package org.bulrushtack.forward.testing

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil

/** Drops all that one connection sends and receives while it [isSilent], as a network does that has lost it. */
internal class SilencingHandler : ChannelDuplexHandler() {
    @Volatile
    var isSilent = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isSilent) ReferenceCountUtil.release(message) else super.channelRead(context, message)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (isSilent) {
            ReferenceCountUtil.release(message)
            promise.setSuccess()
        } else {
            super.write(context, message, promise)
        }
    }
}
