package org.bulrushtack.forward.exchange

import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.ResponseStream
import java.io.ByteArrayOutputStream

/** Holds a short answer back until it is whole, so that a broken one can be replaced; a long one is handed on. */
internal class WholeRelay(
    private val exchange: HttpExchange,
) : AnswerRelay {
    private var status = 0
    private var headers = HttpHeaderList()
    private var held = ByteArrayOutputStream()
    private var stream: ResponseStream? = null
    private var writableListener: () -> Unit = {}

    override val isBegun: Boolean get() = stream != null

    override fun open(status: Int, headers: HttpHeaderList) {
        this.status = status
        this.headers = headers
        held = ByteArrayOutputStream()
    }

    override fun accept(bytes: ByteArray): Boolean {
        val open = stream
        if (open != null) {
            open.write(bytes)
            return open.isWritable
        }
        held.writeBytes(bytes)
        if (held.size() > MAXIMUM_HELD_BYTES) handOn()
        return stream?.isWritable ?: true
    }

    override fun complete() {
        val open = stream
        if (open == null) {
            val body = held.toByteArray()
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

    private fun handOn() {
        val opened = exchange.stream(status = status, contentType = null, headers = headers)
        opened.onWritable { writableListener() }
        opened.write(held.toByteArray())
        held = ByteArrayOutputStream()
        stream = opened
    }
}

/** Some hundred times a usual answer of a plain service. */
private const val MAXIMUM_HELD_BYTES = 65_536
