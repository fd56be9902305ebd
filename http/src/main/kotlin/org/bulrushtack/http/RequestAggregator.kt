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

/** Aggregates the parts of one request, within limits. The memory for a body is reserved until [reset]. */
internal class RequestAggregator(
    private val limits: HttpLimits,
    private val allocator: ByteBufAllocator,
) {
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var reservedBytes = 0

    /** Whether a request has started and is not complete yet. */
    val hasStarted: Boolean get() = head != null

    /** Adds the next part and returns the progress of the request. */
    fun offer(message: HttpObject): Progress {
        val cause = message.decoderResult().cause()
        if (cause != null) return Progress.Invalid(errorOf(cause))
        val startError = if (message is HttpRequest) start(message) else null
        val error = startError ?: if (message is HttpContent) add(message) else null
        return when {
            error != null -> Progress.Invalid(error)
            message is LastHttpContent -> complete()
            else -> Progress.Incomplete
        }
    }

    /** Discards the request, whether it is complete or not, and releases its memory. */
    fun reset() {
        releaseParts()
        limits.memory.release(reservedBytes)
        reservedBytes = 0
    }

    private fun releaseParts() {
        head = null
        body?.release()
        body = null
    }

    private fun errorOf(cause: Throwable): RequestError {
        val tooLarge = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        return if (tooLarge) RequestError.HEADERS_TOO_LARGE else RequestError.MALFORMED
    }

    private fun start(request: HttpRequest): RequestError? {
        head = request
        body = allocator.compositeBuffer(MAXIMUM_PARTS)
        return RequestError.BODY_TOO_LARGE.takeIf { HttpUtil.getContentLength(request, 0L) > limits.bodyBytes }
    }

    private fun add(content: HttpContent): RequestError? {
        val collected = body ?: return null
        val bytes = content.content().readableBytes()
        return when {
            collected.readableBytes() + bytes > limits.bodyBytes -> RequestError.BODY_TOO_LARGE
            !limits.memory.tryReserve(bytes) -> RequestError.NO_MEMORY
            else -> {
                reservedBytes += bytes
                collected.addComponent(true, content.content().retain())
                null
            }
        }
    }

    private fun complete(): Progress {
        val request = head ?: return Progress.Incomplete
        return try {
            complete(request, QueryStringDecoder(request.uri()))
        } catch (_: IllegalArgumentException) {
            Progress.Invalid(RequestError.MALFORMED)
        }
    }

    /** Completes [request]; its path and parameters are decoded here, which fails for a malformed escape sequence. */
    private fun complete(request: HttpRequest, target: QueryStringDecoder): Progress {
        val path = target.path()
        val query = target.parameters().mapValues { (_, values) -> values.first() }
        val bytes = body?.let { ByteBufUtil.getBytes(it) } ?: ByteArray(0)
        releaseParts()
        val headers = request.headers().entries().map { HttpHeaderList.Header(name = it.key, value = it.value) }
        val message = HttpMessageRequest(
            method = request.method().name(),
            path = path,
            query = query,
            headers = HttpHeaderList(entries = headers),
            body = bytes,
            target = request.uri(),
        )
        return Progress.Complete(request = message, keepAlive = HttpUtil.isKeepAlive(request))
    }

    /** The progress of a request. */
    sealed interface Progress {
        /** More parts are expected. */
        data object Incomplete : Progress

        /** All parts of the request have arrived. */
        data class Complete(
            val request: HttpMessageRequest,
            val keepAlive: Boolean,
        ) : Progress

        /** The request can't be completed. */
        data class Invalid(
            val error: RequestError,
        ) : Progress
    }
}

private const val MAXIMUM_PARTS = 1_024
