package org.bulrushtack.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** Builds messages for Netty's codec. */
internal object ClientMessage {
    /** The message for [request]. */
    fun of(request: ClientRequest): FullHttpRequest {
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.path,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers().set(HttpHeaderNames.HOST, request.address)
        if (request.body.isNotEmpty()) message.headers().set(HttpHeaderNames.CONTENT_TYPE, request.contentType)
        HttpUtil.setContentLength(message, request.body.size.toLong())
        request.headers.entries.forEach { message.headers().add(it.name, it.value) }
        return message
    }
}
