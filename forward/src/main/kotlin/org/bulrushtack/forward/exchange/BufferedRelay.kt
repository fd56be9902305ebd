package org.bulrushtack.forward.exchange

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.ResponseStream
import java.io.ByteArrayOutputStream

/**
 * Buffers a response until it is complete, so that a failed one can be replaced; streams one that is longer than
 * [maximumBufferedBytes], which may change with the requests in flight.
 */
internal class BufferedRelay(
    private val exchange: HttpExchange,
    private val maximumBufferedBytes: () -> Int,
    private val onExecuted: () -> Unit = {},
) : ResponseRelay {
    private var status = 0
    private var headers = HttpHeaderList()
    private var buffer = ByteArrayOutputStream()
    private var stream: ResponseStream? = null
    private var writableListener: () -> Unit = {}

    override val isStarted: Boolean get() = stream != null

    override fun open(status: Int, headers: HttpHeaderList) {
        this.status = status
        this.headers = headers
        buffer = ByteArrayOutputStream()
    }

    override fun onExecuted() = onExecuted.invoke()

    override fun accept(bytes: ByteArray): RelayState {
        val open = stream
        if (open == null) buffer.writeBytes(bytes) else open.write(bytes)
        if (open == null && buffer.size() > maximumBufferedBytes()) startStreaming()
        return if (stream?.isWritable ?: true) RelayState.READY else RelayState.BLOCKED
    }

    override fun complete() {
        val open = stream
        if (open == null) {
            val body = buffer.toByteArray()
            exchange.respond(
                HttpMessageResponse(status = status, contentType = null, body = body, headers = headers),
            )
        } else {
            open.end()
        }
    }

    override fun abort() = exchange.abort()

    override fun onWritable(listener: () -> Unit) {
        writableListener = listener
    }

    private fun startStreaming() {
        val opened = exchange.stream(status = status, contentType = null, headers = headers)
        opened.onWritable { writableListener() }
        opened.write(buffer.toByteArray())
        buffer = ByteArrayOutputStream()
        stream = opened
    }
}
