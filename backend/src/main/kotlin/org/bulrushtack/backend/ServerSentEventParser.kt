package org.bulrushtack.backend

import java.io.ByteArrayOutputStream

/** Takes a stream of server-sent events apart; each call gives the data of the events that became whole. */
internal class ServerSentEventParser {
    private val line = ByteArrayOutputStream()

    fun feed(bytes: ByteArray): List<String> {
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
        if (text.startsWith(PREFIX)) text.removePrefix(PREFIX).trim() else null
}

private const val NEWLINE = '\n'.code.toByte()
private const val PREFIX = "data:"
