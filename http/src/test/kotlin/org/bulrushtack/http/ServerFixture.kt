package org.bulrushtack.http

import java.util.concurrent.TimeUnit

/** A server with a [FakeHandler]. */
internal class ServerFixture : AutoCloseable {
    private val group = EventLoops.create(threads = 1)

    @Volatile
    var limits = HttpLimits()

    /** How the server gets its limits. */
    @Volatile
    var readLimits = { limits }
    val handler = FakeHandler()
    val server = HttpServer.start(
        group = group,
        host = "127.0.0.1",
        port = 0,
        limits = { readLimits() },
        handler = handler,
    )

    /** Connects a caller. */
    fun caller() = RawCaller(server.port)

    /** Waits until the server's one thread has handled what was sent and written before, by two rounds of its loop. */
    fun awaitRead() = repeat(2) {
        caller().use {
            it.get("/now-other")
            it.readUntil("</now-other>")
        }
    }

    /** Waits for the next connection end that was reported. */
    fun nextEnd(): ConnectionEnd = checkNotNull(handler.ends.poll(10, TimeUnit.SECONDS)) { "no end was reported" }

    /** The number of connection ends that were reported and not read yet. */
    val endCount: Int get() = handler.ends.size

    override fun close() {
        group.shutdownGracefully()
    }
}
