package org.bulrushtack.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.internal.logging.InternalLoggerFactory
import org.bulrushtack.http.budget.ConnectionAccount
import org.bulrushtack.http.budget.ConnectionMeter
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/**
 * Aggregates the requests of one connection and dispatches them to the handler one at a time. [activeExchanges] counts
 * those of all connections whose response has not been written completely.
 */
internal class ServerConnection(
    private val limits: () -> HttpLimits,
    private val handler: HttpHandler,
    private val activeExchanges: AtomicInteger,
) : SimpleChannelInboundHandler<HttpObject>() {
    /** Closes the connection. */
    val closer = ConnectionCloser(handler.observer)

    /** Whether a request has started and has not arrived completely, so that it may be refused. */
    val isArriving: Boolean get() = exchange == null && !closer.isClosing && aggregator?.hasStarted == true
    private val timer = ConnectionTimer { context ->
        when {
            exchange != null || closer.isClosing -> Unit
            aggregator.hasStarted -> fail(context = context, error = RequestError.INCOMPLETE)
            else -> closer.close(context.channel(), ConnectionEndCause.TIMEOUT)
        }
    }
    private val pipelined = PipelinedMessages(memory = { limits().memory })
    private var account: ConnectionAccount? = null
    private val aggregator = RequestAggregator(limits, account = { account })
    private var exchange: ServerExchange? = null
        set(value) {
            if (field == null && value != null) activeExchanges.incrementAndGet()
            if (field != null && value == null) activeExchanges.decrementAndGet()
            field = value
        }
    private var isDelivered = true
    private var hasDecoded = false

    override fun channelActive(context: ChannelHandlerContext) {
        account = context.pipeline().get(ConnectionMeter::class.java)?.account
        account?.owner = HttpConnectionOwner(
            channel = context.channel(),
            closer = closer,
            isBusy = { exchange != null },
            hasBegun = { aggregator.hasStarted || (account?.headNanos ?: 0L) != 0L },
            fail = { fail(context, it) },
        )
        timer.start(context = context, millis = { limits().requestMillis })
        super.channelActive(context)
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        hasDecoded = true
        when {
            closer.isClosing -> closer.drop(message)
            exchange == null -> process(context = context, message = message)
            else -> pipelined.add(channel = context.channel(), message = message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        deliver(context)
        // The codec shows nothing of a head before that is complete.
        val isHead = exchange == null && !aggregator.hasStarted && !hasDecoded
        hasDecoded = false
        val fits = account?.tryHoldHead(isHead = isHead, nowNanos = System.nanoTime()) ?: true
        if (!fits && exchange == null && !closer.isClosing) fail(context, RequestError.NO_MEMORY)
        val shouldPause = exchange == null && !closer.isClosing && account?.let { it.budget.memory.pauses(it) } == true
        if (shouldPause) context.channel().config().isAutoRead = false
        super.channelReadComplete(context)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) exchange?.notifyWritable()
        super.channelWritabilityChanged(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.stop()
        closer.ended(context = context, exchange = exchange, pipelined = pipelined)
        pipelined.clear()
        aggregator.reset()
        exchange?.notifyClosed()
        exchange = null
        super.channelInactive(context)
    }

    @Deprecated("Netty's own deprecation of the inherited function")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) {
            LOGGER.debug("A connection failed.", cause)
            closer.closing(ConnectionEndCause.PEER)
            context.close()
        } else {
            LOGGER.warn("A request could not be read; closing the connection.", cause)
            val error = if (cause is OutOfMemoryError) RequestError.NO_MEMORY else RequestError.HANDLER_FAILED
            val mayRespond = exchange == null && !closer.isClosing
            if (mayRespond) fail(context, error) else closer.closing(ConnectionEndCause.ERROR)
        }
    }

    private fun process(context: ChannelHandlerContext, message: HttpObject) {
        if (closer.isClosing) return
        if (message is HttpRequest) {
            timer.start(context = context, millis = { limits().requestMillis })
            account?.requestBegins(System.nanoTime())
        }
        when (val progress = aggregator.offer(message)) {
            is RequestAggregator.Progress.Incomplete -> if (message is HttpRequest) continueIfExpected(context, message)
            is RequestAggregator.Progress.Invalid -> fail(context = context, error = progress.error)
            is RequestAggregator.Progress.Complete -> {
                timer.stop()
                isDelivered = false
                exchange = ServerExchange(
                    request = progress.request,
                    channel = context.channel(),
                    // A request that crosses the head of a stream would wait for its end: that head announces no close.
                    shouldKeepAlive = { isStream ->
                        val mayAnnounce = handler.isClosing && !isStream && pipelined.isEmpty
                        progress.keepAlive && !closer.isClosing && !mayAnnounce
                    },
                    closer = closer,
                    errorResponse = { handler.errorResponse(RequestError.HANDLER_FAILED) },
                    onComplete = { finishExchange(context) },
                )
            }
        }
    }

    /** Passes the current request to the handler once all that has arrived behind it is decoded. */
    private fun deliver(context: ChannelHandlerContext) {
        val next = exchange?.takeUnless { isDelivered } ?: return
        isDelivered = true
        runCatching { handler.handle(next) }.onFailure { cause ->
            LOGGER.warn("The handler of a request failed; closing the connection.", cause)
            next.notifyClosed()
            if (next.isStarted) {
                closer.close(context.channel(), ConnectionEndCause.ERROR)
            } else {
                exchange = null
                fail(context, RequestError.HANDLER_FAILED)
            }
        }
    }

    /** Reads the next request; until that is whole, the finished one counts as active. */
    private fun finishExchange(context: ChannelHandlerContext) {
        val finished = exchange
        account?.hasServed = true
        aggregator.reset()
        val reading = runCatching {
            if (closer.isClosing || !context.channel().isActive) return@runCatching
            timer.start(context = context, millis = { limits().idleMillis })
            pipelined.drain(channel = context.channel()) { message ->
                process(context = context, message = message)
                exchange === finished
            }
        }
        if (exchange === finished) exchange = null
        reading.onFailure { context.pipeline().fireExceptionCaught(it) }
        deliver(context)
    }

    private fun fail(context: ChannelHandlerContext, error: RequestError) {
        timer.stop()
        aggregator.reset()
        account?.let { it.budget.memory.releaseAll(it, withConnection = false) }
        closer.refuse(channel = context.channel(), response = handler.errorResponse(error))
    }
}

private fun continueIfExpected(context: ChannelHandlerContext, request: HttpRequest) {
    if (!HttpUtil.is100ContinueExpected(request)) return
    val status = HttpResponseStatus.CONTINUE
    context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER))
}

private val LOGGER = InternalLoggerFactory.getInstance(ServerConnection::class.java)
