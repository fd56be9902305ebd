package org.bulrushtack.http

import io.netty.channel.ChannelHandlerContext
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** A timeout of a connection; starting it again replaces the previous one. */
internal class ConnectionTimer(
    private val onTimeout: (ChannelHandlerContext) -> Unit,
) {
    private var scheduled: ScheduledFuture<*>? = null

    fun start(context: ChannelHandlerContext, millis: Long) {
        stop()
        scheduled = context.executor().schedule({ onTimeout(context) }, millis, TimeUnit.MILLISECONDS)
    }

    fun stop() {
        scheduled?.cancel(false)
    }
}
