package org.bulrushtack.http

import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit

/** A client over a raw socket, so that it can send requests at any time and in any parts. */
internal class RawCaller(
    port: Int,
) : AutoCloseable {
    val socket = Socket("127.0.0.1", port).apply { soTimeout = TimeUnit.SECONDS.toMillis(READ_TIMEOUT_SECONDS).toInt() }

    override fun close() = socket.close()

    /** Sends [text] unchanged. */
    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    /** Sends a request without a body for [path]. */
    fun get(path: String) = send("GET $path HTTP/1.1\r\nHost: a\r\n\r\n")

    /** Reads up to the end of the first [text]. */
    fun readUntil(text: String) {
        val read = StringBuilder()
        while (!read.endsWith(text)) {
            val byte = socket.getInputStream().read()
            check(byte >= 0) { "the connection ended after '$read'" }
            read.append(byte.toChar())
        }
    }

    /** Reads up to the end of the connection; a reset ends it too, with what had arrived before. */
    fun readAll(): String {
        val text = StringBuilder()
        try {
            generateSequence { socket.getInputStream().read().takeIf { it >= 0 } }.forEach { text.append(it.toChar()) }
        } catch (reset: IOException) {
            text.append(reset)
        }
        return text.toString()
    }

    private companion object {
        const val READ_TIMEOUT_SECONDS = 10L
    }
}
