package org.bulrushtack.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent

/**
 * Queues pipelined requests as copies, so that no buffer of the network is kept. When there are many, or [memory] is
 * used up, reading stops, so that the rest waits in the socket.
 */
internal class PipelinedMessages(
    private val memory: () -> BodyMemory,
) {
    private val messages = ArrayDeque<Queued>()

    /** Whether nothing of a further request is queued. */
    val isEmpty: Boolean get() = messages.isEmpty()

    /** The number of whole requests, of which the first may have begun before it was queued. */
    val requests: Int get() = messages.count { it.message is LastHttpContent }

    /** The queued bytes. */
    val bytes: Long get() = messages.sumOf { it.bytes.toLong() }

    private val isFull: Boolean get() = messages.size >= MAXIMUM_MESSAGES || bytes >= MAXIMUM_BYTES

    /** Queues [message]. */
    fun add(channel: Channel, message: HttpObject) {
        val bytes = sizeOf(message)
        val reserved = memory().takeIf { it.tryReserve(bytes) }
        messages.addLast(Queued(message = copyOf(message), bytes = bytes, reserved = reserved))
        if (isFull || reserved == null) channel.config().isAutoRead = false
    }

    /** Passes queued messages to [process] for as long as it returns true. */
    fun drain(channel: Channel, process: (HttpObject) -> Boolean) {
        var shouldContinue = true
        while (shouldContinue && messages.isNotEmpty()) {
            val next = messages.removeFirst()
            next.release()
            shouldContinue = process(next.message)
        }
        if (!isFull) channel.config().isAutoRead = true
    }

    /** Discards all queued messages. */
    fun clear() {
        messages.forEach { it.release() }
        messages.clear()
    }

    private fun copyOf(message: HttpObject): HttpObject = if (message is HttpContent) {
        message.replace(Unpooled.copiedBuffer(message.content())).apply { decoderResult = message.decoderResult() }
    } else {
        message
    }

    private fun sizeOf(message: HttpObject): Int {
        val headBytes = if (message is HttpRequest) {
            message.uri().length + message.headers().sumOf { it.key.length + it.value.length }
        } else {
            0
        }
        val contentBytes = if (message is HttpContent) message.content().readableBytes() else 0
        return headBytes + contentBytes
    }

    /** A [message] of [bytes], which are reserved at [reserved] unless that is null. */
    private data class Queued(
        val message: HttpObject,
        val bytes: Int,
        val reserved: BodyMemory?,
    ) {
        fun release() {
            reserved?.release(bytes)
        }
    }
}

private const val MAXIMUM_MESSAGES = 32
private const val MAXIMUM_BYTES = 32_768
