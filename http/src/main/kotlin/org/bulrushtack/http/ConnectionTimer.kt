package org.bulrushtack.http

import io.netty.channel.ChannelHandlerContext
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** A timeout of a connection; starting it again replaces the previous one. */
internal class ConnectionTimer(
    private val onTimeout: (ChannelHandlerContext) -> Unit,
) {
    private var scheduled: ScheduledFuture<*>? = null

    /** Starts a timeout of [millis], which is prolonged if [millis] has grown when it runs out. */
    fun start(context: ChannelHandlerContext, millis: () -> Long) {
        stop()
        val startNanos = System.nanoTime()
        schedule(context, millis()) {
            val remainingMillis = millis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
            if (remainingMillis > 0) schedule(context, remainingMillis) { onTimeout(context) } else onTimeout(context)
        }
    }

    fun stop() {
        scheduled?.cancel(false)
    }

    private fun schedule(context: ChannelHandlerContext, millis: Long, action: () -> Unit) {
        scheduled = context.executor().schedule(action, millis, TimeUnit.MILLISECONDS)
    }
}
