package org.bulrushtack.http

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A server over raw sockets; [respond] gets each accepted connection, and what it sends need not be HTTP. */
internal class RawServer(
    private val respond: (Socket) -> Unit,
) : AutoCloseable {
    private val listening = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** The connections that were accepted. */
    val accepted = AtomicInteger()

    val address: String get() = "127.0.0.1:${listening.localPort}"

    init {
        thread(isDaemon = true) { accept() }
    }

    override fun close() = listening.close()

    private fun accept() {
        try {
            while (true) {
                val socket = listening.accept()
                accepted.incrementAndGet()
                thread(isDaemon = true) { serve(socket) }
            }
        } catch (_: IOException) {
            // The test closed the listening socket.
        }
    }

    private fun serve(socket: Socket) = socket.use {
        try {
            respond(it)
        } catch (_: IOException) {
            // The client closed the connection, which the tests see on its side.
        }
    }

    companion object {
        private const val BACKLOG = 50

        /** Reads a request without a body. */
        fun readRequest(socket: Socket): Boolean {
            var last = ""
            while (!last.endsWith("\r\n\r\n")) {
                val byte = socket.getInputStream().read()
                if (byte < 0) return false
                last = (last + byte.toChar()).takeLast(4)
            }
            return true
        }

        /** Sends [text]. */
        fun send(socket: Socket, text: String) {
            socket.getOutputStream().write(text.toByteArray())
            socket.getOutputStream().flush()
        }
    }
}
