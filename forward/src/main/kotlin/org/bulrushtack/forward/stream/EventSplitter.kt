package org.bulrushtack.forward.stream

import java.io.ByteArrayOutputStream

/** Cuts a stream of server-sent events into whole events, so that a broken one is never handed on in part. */
internal class EventSplitter {
    private var pending = ByteArrayOutputStream()
    private var lineIsEmpty = true

    /** Takes [bytes] and gives the events that are whole now. */
    fun feed(bytes: ByteArray): List<ServerEvent> {
        val whole = mutableListOf<ServerEvent>()
        bytes.forEach { byte ->
            pending.write(byte.toInt())
            when (byte) {
                LINE_FEED -> if (lineIsEmpty) whole.add(takeEvent()) else lineIsEmpty = true
                CARRIAGE_RETURN -> Unit
                else -> lineIsEmpty = false
            }
        }
        return whole
    }

    /** What has come since the last whole event. */
    fun takeRest(): ByteArray {
        val rest = pending.toByteArray()
        pending = ByteArrayOutputStream()
        lineIsEmpty = true
        return rest
    }

    private fun takeEvent(): ServerEvent {
        val bytes = takeRest()
        val id = bytes.decodeToString().lineSequence().firstOrNull { it.startsWith(ID_FIELD) }
        return ServerEvent(bytes = bytes, id = id?.removePrefix(ID_FIELD)?.trim())
    }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"
