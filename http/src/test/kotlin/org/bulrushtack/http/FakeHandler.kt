package org.bulrushtack.http

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Responds to `/now…` at once, and keeps all other requests until a test responds. */
internal class FakeHandler : HttpHandler {
    private val kept = LinkedBlockingQueue<HttpExchange>()

    /** The connection ends that were reported. */
    val ends = LinkedBlockingQueue<ConnectionEnd>()

    @Volatile
    override var isClosing = false
    override val observer = ConnectionObserver { ends.add(it) }

    override fun handle(exchange: HttpExchange) {
        if (exchange.request.path.startsWith("/now")) respond(exchange) else kept.add(exchange)
    }

    override fun errorResponse(error: RequestError) = HttpMessageResponse(status = 500, body = "$error".toByteArray())

    /** Waits for the next request that was kept. */
    fun next(): HttpExchange = checkNotNull(kept.poll(10, TimeUnit.SECONDS)) { "no request" }

    /** Responds to [exchange] with the target of its request. */
    fun respond(exchange: HttpExchange) =
        exchange.respond(HttpMessageResponse(status = 200, body = "<${exchange.request.target}>".toByteArray()))
}
