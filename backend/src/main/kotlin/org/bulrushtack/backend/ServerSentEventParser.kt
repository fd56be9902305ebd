package org.bulrushtack.backend

import java.io.ByteArrayOutputStream

/** Parses a stream of server-sent events; each call returns the data of the events that are complete by then. */
internal class ServerSentEventParser {
    private val line = ByteArrayOutputStream()

    fun parse(bytes: ByteArray): List<String> {
        val events = mutableListOf<String>()
        for (byte in bytes) {
            if (byte == NEWLINE) {
                dataOf(line.toString(Charsets.UTF_8))?.let { events.add(it) }
                line.reset()
            } else {
                line.write(byte.toInt())
            }
        }
        return events
    }

    private fun dataOf(text: String): String? =
        if (text.startsWith(DATA_PREFIX)) text.removePrefix(DATA_PREFIX).trim() else null
}

private const val NEWLINE = '\n'.code.toByte()
private const val DATA_PREFIX = "data:"
