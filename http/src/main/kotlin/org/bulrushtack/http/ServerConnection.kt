package org.bulrushtack.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.internal.logging.InternalLoggerFactory
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/**
 * Aggregates the requests of one connection and dispatches them to the handler one at a time. [activeExchanges] counts
 * those of all connections whose response has not been written completely.
 */
internal class ServerConnection(
    private val limits: HttpLimits,
    private val handler: HttpHandler,
    private val activeExchanges: AtomicInteger,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val timer = ConnectionTimer { context ->
        when {
            exchange != null || report.isClosing -> Unit
            aggregator?.hasStarted == true -> fail(context = context, error = RequestError.INCOMPLETE)
            else -> end(context.channel(), ConnectionEndCause.TIMEOUT)
        }
    }
    private val pipelined = PipelinedMessages()
    private val report = ConnectionEndReport(handler.observer)
    private var aggregator: RequestAggregator? = null
    private var exchange: ServerExchange? = null
        set(value) {
            if (field == null && value != null) activeExchanges.incrementAndGet()
            if (field != null && value == null) activeExchanges.decrementAndGet()
            field = value
        }

    /** Closes [channel] because of [cause]; its client has [millis] to read what was written. */
    fun end(channel: Channel, cause: ConnectionEndCause, millis: Long = LingeringClose.DEFAULT_MILLIS) {
        report.closing(cause)
        LingeringClose.start(channel = channel, millis = millis)
    }

    override fun channelActive(context: ChannelHandlerContext) {
        aggregator = RequestAggregator(limits = limits, allocator = context.alloc())
        timer.start(context = context, millis = limits.requestMillis)
        super.channelActive(context)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (exchange == null) {
            process(context = context, message = message)
        } else {
            pipelined.add(channel = context.channel(), message = message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) exchange?.notifyWritable()
        super.channelWritabilityChanged(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.stop()
        report.ended(context = context, exchange = exchange, pipelined = pipelined)
        pipelined.clear()
        aggregator?.reset()
        exchange?.notifyClosed()
        exchange = null
        super.channelInactive(context)
    }

    @Deprecated("Netty's own deprecation of the inherited function")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        LOGGER.debug("A connection failed.", cause)
        report.closing(if (cause is IOException) ConnectionEndCause.PEER else ConnectionEndCause.ERROR)
        context.close()
    }

    private fun process(context: ChannelHandlerContext, message: HttpObject) {
        val active = aggregator?.takeUnless { report.isClosing } ?: return
        if (message is HttpRequest) timer.start(context = context, millis = limits.requestMillis)
        when (val progress = active.offer(message)) {
            is RequestAggregator.Progress.Incomplete -> Unit
            is RequestAggregator.Progress.Invalid -> fail(context = context, error = progress.error)
            is RequestAggregator.Progress.Complete -> dispatch(context = context, complete = progress)
        }
    }

    private fun dispatch(context: ChannelHandlerContext, complete: RequestAggregator.Progress.Complete) {
        timer.stop()
        val next = ServerExchange(
            request = complete.request,
            channel = context.channel(),
            shouldKeepAlive = { complete.keepAlive && !handler.isClosing },
            report = report,
            onComplete = { finishExchange(context) },
        )
        exchange = next
        runCatching { handler.handle(next) }.onFailure { cause ->
            LOGGER.warn("The handler of a request failed; closing the connection.", cause)
            next.notifyClosed()
            if (next.isStarted) {
                end(context.channel(), ConnectionEndCause.ERROR)
            } else {
                exchange = null
                fail(context, RequestError.HANDLER_FAILED)
            }
        }
    }

    private fun finishExchange(context: ChannelHandlerContext) {
        exchange = null
        aggregator?.reset()
        if (report.isClosing) return
        timer.start(context = context, millis = limits.idleMillis)
        pipelined.drain(channel = context.channel()) { message ->
            process(context = context, message = message)
            exchange == null
        }
    }

    private fun fail(context: ChannelHandlerContext, error: RequestError) {
        report.closing(ConnectionEndCause.ERROR_RESPONSE)
        timer.stop()
        aggregator?.reset()
        val response = ServerExchange.message(response = handler.errorResponse(error), keepAlive = false)
        context.writeAndFlush(response).addListener { LingeringClose.start(context.channel()) }
    }
}

private val LOGGER = InternalLoggerFactory.getInstance(ServerConnection::class.java)
