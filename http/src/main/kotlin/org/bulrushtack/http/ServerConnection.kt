package org.bulrushtack.http

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest

/** Collects the requests of one connection and hands them over one at a time. */
internal class ServerConnection(
    private val limits: HttpLimits,
    private val handler: HttpHandler,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val timer = ConnectionTimer(onTimeout = ::timeOut)
    private val stash = MessageStash()
    private var collector: RequestCollector? = null
    private var exchange: ServerExchange? = null
    private var failed = false

    override fun channelActive(context: ChannelHandlerContext) {
        collector = RequestCollector(limits = limits, allocator = context.alloc())
        timer.start(context = context, millis = limits.requestMillis)
        super.channelActive(context)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (exchange == null) {
            take(context = context, message = message)
        } else {
            stash.add(channel = context.channel(), message = message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) exchange?.writable()
        super.channelWritabilityChanged(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.stop()
        stash.clear()
        collector?.reset()
        exchange?.closed()
        exchange = null
        super.channelInactive(context)
    }

    @Deprecated("Netty's own deprecation of the inherited function")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun take(context: ChannelHandlerContext, message: HttpObject) {
        val collecting = collector?.takeUnless { failed } ?: return
        if (message is HttpRequest) timer.start(context = context, millis = limits.requestMillis)
        when (val progress = collecting.offer(message)) {
            is RequestCollector.Progress.Partial -> Unit
            is RequestCollector.Progress.Faulty -> fail(context = context, fault = progress.fault)
            is RequestCollector.Progress.Whole -> handOver(context = context, whole = progress)
        }
    }

    private fun handOver(context: ChannelHandlerContext, whole: RequestCollector.Progress.Whole) {
        timer.stop()
        val next = ServerExchange(
            request = whole.request,
            channel = context.channel(),
            staysOpen = { whole.keepAlive && !handler.isClosing },
            onEnd = { ended(context) },
        )
        exchange = next
        handler.handle(next)
    }

    private fun ended(context: ChannelHandlerContext) {
        exchange = null
        collector?.reset()
        timer.start(context = context, millis = limits.idleMillis)
        stash.drain(channel = context.channel()) { message ->
            take(context = context, message = message)
            exchange == null
        }
    }

    private fun fail(context: ChannelHandlerContext, fault: HttpFault) {
        failed = true
        timer.stop()
        collector?.reset()
        val response = ServerExchange.message(response = handler.answerFault(fault), keepAlive = false)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun timeOut(context: ChannelHandlerContext) {
        val isBegun = collector?.isBegun ?: false
        when {
            exchange != null -> Unit
            isBegun -> fail(context = context, fault = HttpFault.INCOMPLETE)
            else -> context.close()
        }
    }
}
