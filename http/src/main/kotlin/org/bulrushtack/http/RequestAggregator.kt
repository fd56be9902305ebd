package org.bulrushtack.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.internal.logging.InternalLoggerFactory
import org.bulrushtack.http.budget.ConnectionAccount
import org.bulrushtack.http.budget.CountedHeaders
import org.bulrushtack.http.budget.HeaderCharge
import org.bulrushtack.http.budget.Holding
import org.bulrushtack.http.budget.OverBudgetException

/**
 * Aggregates the parts of one request, within the limits of the time when it starts. The memory for a body is reserved
 * and counted in [account] until [reset].
 */
internal class RequestAggregator(
    private val currentLimits: () -> HttpLimits,
    private val account: () -> ConnectionAccount?,
) {
    private val charges = ArrayList<HeaderCharge>()
    private var limits = HttpLimits()
    private var head: HttpRequest? = null
    private var body: ByteBuf? = null
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
        account()?.hold(Holding.BODIES, -reservedBytes.toLong())
        reservedBytes = 0
        charges.forEach { it.release() }
        charges.clear()
    }

    private fun releaseParts() {
        head = null
        body?.release()
        body = null
    }

    private fun errorOf(cause: Throwable): RequestError {
        val tooLarge = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        return when {
            tooLarge -> RequestError.HEADERS_TOO_LARGE
            cause is OverBudgetException -> RequestError.NO_MEMORY
            else -> RequestError.MALFORMED
        }
    }

    private fun start(request: HttpRequest): RequestError? {
        limits = currentLimits()
        head = request
        (request.headers() as? CountedHeaders)?.let { charges.add(it.charge) }
        body = Unpooled.buffer()
        return RequestError.BODY_TOO_LARGE.takeIf { HttpUtil.getContentLength(request, 0L) > limits.bodyBytes }
    }

    private fun add(content: HttpContent): RequestError? {
        val collected = body ?: return null
        val bytes = content.content().readableBytes()
        val trailers = (content as? LastHttpContent)?.trailingHeaders() as? CountedHeaders
        trailers?.let { charges.add(it.charge) }
        return when {
            collected.readableBytes() + bytes > limits.bodyBytes -> RequestError.BODY_TOO_LARGE
            !tryReserve(bytes) -> RequestError.NO_MEMORY
            else -> {
                reservedBytes += bytes
                collected.writeBytes(content.content())
                null
            }
        }
    }

    /** Reserves [bytes] more of the body; unfinished requests with larger bodies give way. */
    private fun tryReserve(bytes: Int): Boolean {
        val holder = account()
        if (holder?.tryHold(Holding.BODIES, bytes.toLong()) == false) return false
        val spareBytes = if (reservedBytes + bytes > LARGE_BYTES) limits.memory.spareBytes(limits.bodyBytes) else 0
        var fits = limits.memory.tryReserve(bytes, spareBytes)
        while (!fits && holder?.budget?.memory?.makeRoom(holder, bytes.toLong(), Holding.BODIES) == true) {
            fits = limits.memory.tryReserve(bytes, spareBytes)
        }
        if (!fits) holder?.hold(Holding.BODIES, -bytes.toLong())
        return fits
    }

    private fun complete(): Progress {
        val request = head ?: return Progress.Incomplete
        val bytes = body?.let { ByteBufUtil.getBytes(it) } ?: ByteArray(0)
        releaseParts()
        if (HttpUtil.is100ContinueExpected(request)) request.headers().remove(HttpHeaderNames.EXPECT)
        val headers = request.headers().entries().map { HttpHeaderList.Header(name = it.key, value = it.value) }
        val message = HttpMessageRequest(
            method = request.method().name(),
            path = decodedPath(request.uri()),
            query = decodedQuery(request.uri()),
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

/** Callers may mean a lone percent sign as such; Netty rejects it, and then the path is what they sent. */
private fun decodedPath(target: String): String = try {
    QueryStringDecoder(target).path()
} catch (malformed: IllegalArgumentException) {
    LOGGER.debug("The path of a request is not encoded properly.", malformed)
    target.substringBefore('?')
}

private fun decodedQuery(target: String): Map<String, String> = try {
    QueryStringDecoder(target).parameters().mapValues { (_, values) -> values.first() }
} catch (malformed: IllegalArgumentException) {
    LOGGER.debug("The query of a request is not encoded properly.", malformed)
    emptyMap()
}

private val LOGGER = InternalLoggerFactory.getInstance(RequestAggregator::class.java)

/** About ten times a usual body, in bytes; requests with larger ones leave a part of the memory to others. */
private const val LARGE_BYTES = 262_144
