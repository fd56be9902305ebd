package org.bulrushtack.http

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/** Holds pipelined requests back; when there are many, the rest waits in the socket and not in memory. */
internal class PipelinedMessages {
    private val messages = ArrayDeque<HttpObject>()

    /** Holds [message] back. */
    fun add(channel: Channel, message: HttpObject) {
        messages.addLast(ReferenceCountUtil.retain(message))
        if (messages.size >= MAXIMUM_MESSAGES) channel.config().isAutoRead = false
    }

    /** Gives messages to [take] for as long as it answers true. */
    fun drain(channel: Channel, take: (HttpObject) -> Boolean) {
        var goesOn = true
        while (goesOn && messages.isNotEmpty()) {
            val message = messages.removeFirst()
            goesOn = take(message)
            ReferenceCountUtil.release(message)
        }
        if (messages.size < MAXIMUM_MESSAGES) channel.config().isAutoRead = true
    }

    /** Forgets all messages. */
    fun clear() {
        messages.forEach { ReferenceCountUtil.release(it) }
        messages.clear()
    }
}

private const val MAXIMUM_MESSAGES = 32
