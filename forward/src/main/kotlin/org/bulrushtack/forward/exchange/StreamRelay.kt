package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.stream.EventSplitter
import org.bulrushtack.forward.stream.ServerSentEvent
import org.bulrushtack.http.HttpExchange
import org.bulrushtack.http.HttpHeaderList
import org.bulrushtack.http.ResponseFraming
import org.bulrushtack.http.ResponseStream

/**
 * Relays complete events as they arrive. Another server may resume the stream after the last of them; the caller sees
 * one response, with the headers of the first server.
 *
 * @property lastEventId the id of the last event that was sent to the caller, or null
 */
internal class StreamRelay(
    private val exchange: HttpExchange,
    private val onEvent: () -> Unit,
    lastEventId: String?,
) : ResponseRelay {
    private var status = 0
    private var headers = HttpHeaderList()
    private var splitter = EventSplitter()
    private var stream: ResponseStream? = null
    private var writableListener: () -> Unit = {}
    private var commentBytes = 0
    private var hasEvents = false

    var lastEventId: String? = lastEventId
        private set

    override val isStarted: Boolean get() = stream != null
    override val unfinishedBytes: Int get() = splitter.pendingBytes

    override fun open(status: Int, headers: HttpHeaderList) {
        splitter = EventSplitter()
        commentBytes = 0
        hasEvents = false
        if (!isStarted) {
            this.status = status
            this.headers = headers
        }
    }

    override fun accept(bytes: ByteArray): RelayState {
        val received = splitter.feed(bytes)
        val events = received.takeWhile { it.isWellFormed }
        hasEvents = hasEvents || events.any { it.isMessage }
        events.filter { isNew(it) }.forEach { relay(it) }
        return when {
            events.size < received.size -> RelayState.INVALID
            splitter.pendingBytes + commentBytes > MAXIMUM_EVENT_BYTES -> RelayState.INVALID
            stream?.isWritable ?: true -> RelayState.READY
            else -> RelayState.BLOCKED
        }
    }

    private fun relay(event: ServerSentEvent) {
        event.id?.let { lastEventId = it }
        openStream().write(event.bytes)
        if (event.isMessage) {
            commentBytes = 0
            onEvent()
        } else {
            commentBytes += event.bytes.size
        }
    }

    /** A connection that ends before the first event says nothing; a sender that breaks off ends it as well. */
    override fun isCutShort(framing: ResponseFraming): Boolean =
        unfinishedBytes > 0 || (framing == ResponseFraming.CONNECTION_END && !hasEvents)

    override fun complete() = openStream().end()

    override fun abort() = exchange.abort()

    override fun onWritable(listener: () -> Unit) {
        writableListener = listener
    }

    /** A server that resumes a stream may start with an event that the caller has already received. */
    private fun isNew(event: ServerSentEvent): Boolean {
        val id = event.id?.toLongOrNull()
        val last = lastEventId?.toLongOrNull()
        return id == null || last == null || id > last
    }

    private fun openStream(): ResponseStream = stream ?: exchange
        .stream(status = status, contentType = null, headers = headers)
        .also { opened ->
            opened.onWritable { writableListener() }
            stream = opened
        }
}

/** About twenty times a usual event, in bytes; also the limit of comments between two events. */
private const val MAXIMUM_EVENT_BYTES = 65_536
