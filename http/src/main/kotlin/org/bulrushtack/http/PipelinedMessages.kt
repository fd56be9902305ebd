package org.bulrushtack.http

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Queues pipelined requests; when there are many, reading stops, so that the rest waits in the socket. */
internal class PipelinedMessages {
    private val messages = ArrayDeque<HttpObject>()

    /** Whether nothing of a further request is queued. */
    val isEmpty: Boolean get() = messages.isEmpty()

    /** The number of whole requests, of which the first may have begun before it was queued. */
    val requests: Int get() = messages.count { it is LastHttpContent }

    /** The queued bytes of bodies. */
    val bytes: Long get() = messages.filterIsInstance<HttpContent>().sumOf { it.content().readableBytes().toLong() }

    /** Queues [message]. */
    fun add(channel: Channel, message: HttpObject) {
        messages.addLast(ReferenceCountUtil.retain(message))
        if (messages.size >= MAXIMUM_MESSAGES) channel.config().isAutoRead = false
    }

    /** Passes queued messages to [process] for as long as it returns true. */
    fun drain(channel: Channel, process: (HttpObject) -> Boolean) {
        var shouldContinue = true
        while (shouldContinue && messages.isNotEmpty()) {
            val message = messages.removeFirst()
            shouldContinue = process(message)
            ReferenceCountUtil.release(message)
        }
        if (messages.size < MAXIMUM_MESSAGES) channel.config().isAutoRead = true
    }

    /** Releases all queued messages. */
    fun clear() {
        messages.forEach { ReferenceCountUtil.release(it) }
        messages.clear()
    }
}

private const val MAXIMUM_MESSAGES = 32
