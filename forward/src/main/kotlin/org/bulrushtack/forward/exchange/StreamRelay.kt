package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.stream.EventSplitter
import org.bulrushtack.forward.stream.ServerEvent
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseStream

/**
 * Hands whole events on as they arrive. Another server may go on after the last of them; the caller sees one answer,
 * with the headers of the first server.
 *
 * @property lastEventId the last event that the caller has, or null
 */
internal class StreamRelay(
    private val exchange: HttpExchange,
    private val onEvent: () -> Unit,
    lastEventId: String?,
) : AnswerRelay {
    private var status = 0
    private var headers = HttpHeaderList()
    private var splitter = EventSplitter()
    private var stream: ResponseStream? = null
    private var writableListener: () -> Unit = {}

    var lastEventId: String? = lastEventId
        private set

    override val isBegun: Boolean get() = stream != null

    override fun open(status: Int, headers: HttpHeaderList) {
        splitter = EventSplitter()
        if (!isBegun) {
            this.status = status
            this.headers = headers
        }
    }

    override fun accept(bytes: ByteArray): Boolean {
        splitter.feed(bytes).filter { isNew(it) }.forEach { event ->
            event.id?.let { lastEventId = it }
            opened().write(event.bytes)
            onEvent()
        }
        return stream?.isWritable ?: true
    }

    override fun complete() {
        val rest = splitter.takeRest()
        if (rest.isNotEmpty()) opened().write(rest)
        opened().end()
    }

    override fun abort() = exchange.abort()

    override fun onWritable(listener: () -> Unit) {
        writableListener = listener
    }

    /** A server that goes on with a stream may begin with an event that the caller already has. */
    private fun isNew(event: ServerEvent): Boolean {
        val id = event.id?.toLongOrNull()
        val last = lastEventId?.toLongOrNull()
        return id == null || last == null || id > last
    }

    private fun opened(): ResponseStream = stream ?: exchange
        .stream(status = status, contentType = null, headers = headers)
        .also { opened ->
            opened.onWritable { writableListener() }
            stream = opened
        }
}
