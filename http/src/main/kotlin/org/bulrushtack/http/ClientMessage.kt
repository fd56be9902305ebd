package org.bulrushtack.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** Builds request messages for Netty's codec. */
internal object ClientMessage {
    /** Builds the message for [request]. */
    fun of(request: ClientRequest): FullHttpRequest {
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.path,
            Unpooled.wrappedBuffer(request.body),
        )
        val headers = message.headers()
        request.headers.entries.forEach { headers.add(it.name, it.value) }
        if (!headers.contains(HttpHeaderNames.HOST)) headers.set(HttpHeaderNames.HOST, request.address)
        val hasBody = request.body.isNotEmpty()
        if (hasBody) request.contentType?.let { headers.set(HttpHeaderNames.CONTENT_TYPE, it) }
        if (hasBody || message.method() !in METHODS_WITHOUT_BODY) {
            HttpUtil.setContentLength(message, request.body.size.toLong())
        }
        return message
    }
}

private val METHODS_WITHOUT_BODY = setOf(HttpMethod.GET, HttpMethod.HEAD)
