package org.bulrushtack.http

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.CompositeByteBuf
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Puts the parts of one request together, within limits. The memory for a body is held until [reset]. */
internal class RequestCollector(
    private val limits: HttpLimits,
    private val allocator: ByteBufAllocator,
) {
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var takenBytes = 0

    /** Whether a request has begun and isn't whole. */
    val isBegun: Boolean get() = head != null

    /** Takes the next part and says how far the request has come. */
    fun offer(message: HttpObject): Progress {
        val cause = message.decoderResult().cause()
        if (cause != null) return Progress.Faulty(faultOf(cause))
        val begun = if (message is HttpRequest) begin(message) else null
        val fault = begun ?: if (message is HttpContent) add(message) else null
        return when {
            fault != null -> Progress.Faulty(fault)
            message is LastHttpContent -> complete()
            else -> Progress.Partial
        }
    }

    /** Forgets the request, whole or not. */
    fun reset() {
        forgetParts()
        limits.memory.giveBack(takenBytes)
        takenBytes = 0
    }

    private fun forgetParts() {
        head = null
        body?.release()
        body = null
    }

    private fun faultOf(cause: Throwable): HttpFault {
        val tooLarge = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        return if (tooLarge) HttpFault.HEADERS_TOO_LARGE else HttpFault.MALFORMED
    }

    private fun begin(request: HttpRequest): HttpFault? {
        head = request
        body = allocator.compositeBuffer(MAXIMUM_PARTS)
        return HttpFault.BODY_TOO_LARGE.takeIf { HttpUtil.getContentLength(request, 0L) > limits.bodyBytes }
    }

    private fun add(content: HttpContent): HttpFault? {
        val collected = body ?: return null
        val bytes = content.content().readableBytes()
        return when {
            collected.readableBytes() + bytes > limits.bodyBytes -> HttpFault.BODY_TOO_LARGE
            !limits.memory.take(bytes) -> HttpFault.NO_MEMORY
            else -> {
                takenBytes += bytes
                collected.addComponent(true, content.content().retain())
                null
            }
        }
    }

    private fun complete(): Progress {
        val request = head ?: return Progress.Partial
        val bytes = body?.let { ByteBufUtil.getBytes(it) } ?: ByteArray(0)
        forgetParts()
        val target = QueryStringDecoder(request.uri())
        val headers = request.headers().entries().map { HttpHeaderList.Header(name = it.key, value = it.value) }
        val message = HttpMessageRequest(
            method = request.method().name(),
            path = target.path(),
            query = target.parameters().mapValues { (_, values) -> values.first() },
            headers = HttpHeaderList(entries = headers),
            body = bytes,
            target = request.uri(),
        )
        return Progress.Whole(request = message, keepAlive = HttpUtil.isKeepAlive(request))
    }

    /** How far a request has come. */
    sealed interface Progress {
        /** More is to come. */
        data object Partial : Progress

        /** The request is whole. */
        data class Whole(
            val request: HttpMessageRequest,
            val keepAlive: Boolean,
        ) : Progress

        /** The request can't become whole. */
        data class Faulty(
            val fault: HttpFault,
        ) : Progress
    }
}

private const val MAXIMUM_PARTS = 1_024
