package org.bulrushtack.http

import io.netty.channel.ChannelHandlerContext
import java.util.concurrent.atomic.AtomicReference

/** Records why a connection ends and tells [observer] about it if a response is owed then. */
internal class ConnectionEndReport(
    private val observer: ConnectionObserver,
) {
    private val cause = AtomicReference<ConnectionEndCause>()

    /** Whether this side closes the connection, so that no further request is read from it. */
    val isClosing: Boolean get() = cause.get() != null

    /** Records that this side closes the connection because of [cause]; the first cause counts. Any thread. */
    fun closing(cause: ConnectionEndCause) {
        this.cause.compareAndSet(null, cause)
    }

    /** Reports the end of the connection with the [exchange] and the [pipelined] messages that it left behind. */
    fun ended(context: ChannelHandlerContext, exchange: ServerExchange?, pipelined: PipelinedMessages) {
        val isUnanswered = exchange != null && !exchange.isAnswered
        if (!isUnanswered && pipelined.requests == 0) return
        val ownCause = if (context.executor().isShuttingDown) ConnectionEndCause.EXIT else cause.get()
        observer.onResponseLost(
            ConnectionEnd(
                cause = ownCause ?: ConnectionEndCause.PEER,
                isUnanswered = isUnanswered,
                heldRequests = pipelined.requests,
                unreadBytes = pipelined.bytes,
            ),
        )
    }
}
