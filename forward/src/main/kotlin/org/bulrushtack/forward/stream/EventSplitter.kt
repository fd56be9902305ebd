package org.bulrushtack.forward.stream

import java.io.ByteArrayOutputStream

/** Splits a stream of server-sent events into complete events, so that an incomplete one is never relayed. */
internal class EventSplitter {
    private var pending = ByteArrayOutputStream()
    private var lineIsEmpty = true

    /** The number of bytes received since the last complete event. */
    val pendingBytes: Int get() = pending.size()

    /** Adds [bytes] and returns the events that are complete now. */
    fun feed(bytes: ByteArray): List<ServerSentEvent> {
        val completed = mutableListOf<ServerSentEvent>()
        bytes.forEach { byte ->
            pending.write(byte.toInt())
            when (byte) {
                LINE_FEED -> if (lineIsEmpty) completed.add(takeEvent()) else lineIsEmpty = true
                CARRIAGE_RETURN -> Unit
                else -> lineIsEmpty = false
            }
        }
        return completed
    }

    /** Removes and returns the bytes received since the last complete event. */
    fun takeRemainder(): ByteArray {
        val remainder = pending.toByteArray()
        pending = ByteArrayOutputStream()
        lineIsEmpty = true
        return remainder
    }

    /** A field's name comes before its colon, if it has a value; that of a comment is empty. */
    private fun isFieldOrComment(line: String): Boolean =
        line.removePrefix(BYTE_ORDER_MARK).substringBefore(':').all { it.isLetterOrDigit() || it in FIELD_NAME_SYMBOLS }

    private fun takeEvent(): ServerSentEvent {
        val bytes = takeRemainder()
        val lines = bytes.decodeToString().lineSequence()
        val id = lines.firstOrNull { it.startsWith(ID_FIELD) }
        return ServerSentEvent(
            bytes = bytes,
            id = id?.removePrefix(ID_FIELD)?.trim(),
            isMessage = id != null || lines.any { it.startsWith(DATA_FIELD) },
            isWellFormed = isFieldOrComment(lines.first()),
        )
    }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"
private const val DATA_FIELD = "data"
private const val BYTE_ORDER_MARK = "\uFEFF"
private const val FIELD_NAME_SYMBOLS = "-_"
