package org.bulrushtack.http.syntax

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/**
 * Checks the bytes of the responses on one connection, however they are split, and finds where each response ends. It
 * takes nothing but HTTP/1.1 as RFC 9112 defines it, so that the codec after it has nothing left to interpret.
 */
internal class ResponseSyntax {
    private val line = ByteArrayOutputStream()
    private val message = ResponseMessage()

    /** The rule that the response breaks, or null. */
    var brokenRule: ResponseRule? = null
        private set

    /** Whether the response is complete and has broken no rule, or none is expected. */
    val isComplete: Boolean get() = message.part == ResponseMessage.Part.END && brokenRule == null

    /** Starts to read the response to a request. */
    fun expectResponse(isHeadRequest: Boolean) = message.start(isHeadRequest)

    /** Reads [bytes] without changing them, and returns how many of them belong to a response that breaks no rule. */
    fun read(bytes: ByteBuf): Int {
        var index = bytes.readerIndex()
        while (index < bytes.writerIndex() && brokenRule == null && !isComplete) {
            index = when (message.part) {
                ResponseMessage.Part.BODY -> index + message.readBody(bytes.writerIndex() - index)
                else -> readLine(bytes, index)
            }
        }
        return index - bytes.readerIndex()
    }

    /** Reads a line or a part of one from [index] on; returns the index after it, or [index] if it breaks a rule. */
    private fun readLine(bytes: ByteBuf, index: Int): Int {
        val lineFeed = bytes.indexOf(index, bytes.writerIndex(), LINE_FEED)
        val end = if (lineFeed < 0) bytes.writerIndex() else lineFeed + 1
        line.writeBytes(ByteArray(end - index).also { bytes.getBytes(index, it) })
        if (line.size() > MAXIMUM_LINE_BYTES) {
            brokenRule = ResponseRule.LINE_LENGTH
        } else if (lineFeed >= 0) {
            val text = line.toString(Charsets.ISO_8859_1)
            line.reset()
            val isEnded = text.endsWith(LINE_END)
            brokenRule = if (isEnded) message.readLine(text.removeSuffix(LINE_END)) else ResponseRule.LINE_END
        }
        return if (brokenRule == null) end else index
    }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val LINE_END = "\r\n"

/** Above what the codec allows for a whole head, in bytes. */
private const val MAXIMUM_LINE_BYTES = 16_384
