package org.bulrushtack.http.syntax

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/** Checks the bytes of the responses on one connection, however they are split. */
internal class ResponseSyntax {
    private val line = ByteArrayOutputStream()
    private var part = Part.BODY
    private var statusLine: StatusLine? = null

    /** The rule that the response breaks, or null. */
    var brokenRule: ResponseRule? = null
        private set

    /** Starts to read the next response. */
    fun expectResponse() {
        part = Part.STATUS_LINE
    }

    /** Reads [bytes] without changing them, and returns how many of them are before the breach of a rule. */
    fun read(bytes: ByteBuf): Int {
        var index = bytes.readerIndex()
        while (index < bytes.writerIndex() && brokenRule == null) {
            index = if (part == Part.BODY) bytes.writerIndex() else readLine(bytes, index)
        }
        return index - bytes.readerIndex()
    }

    /** Reads a line or the start of one from [index] on, and returns the index of the next byte. */
    private fun readLine(bytes: ByteBuf, index: Int): Int {
        val lineFeed = bytes.indexOf(index, bytes.writerIndex(), LINE_FEED)
        val end = if (lineFeed < 0) bytes.writerIndex() else lineFeed + 1
        bytes.getBytes(index, line, end - index)
        if (lineFeed >= 0) {
            val text = line.toString(Charsets.ISO_8859_1)
            line.reset()
            val isEnded = text.endsWith(LINE_END)
            brokenRule = if (isEnded) checkLine(text.removeSuffix(LINE_END)) else ResponseRule.LINE_END
        }
        return if (brokenRule == null) end else index
    }

    private fun checkLine(text: String): ResponseRule? = when (part) {
        Part.STATUS_LINE -> startHead(text)
        Part.FIELDS -> if (text.isEmpty()) endHead() else null
        Part.BODY -> null
    }

    private fun startHead(text: String): ResponseRule? {
        statusLine = StatusLine.parse(text)
        part = Part.FIELDS
        return if (statusLine == null) ResponseRule.STATUS_LINE else null
    }

    private fun endHead(): ResponseRule? {
        part = if (statusLine?.isInformational == true) Part.STATUS_LINE else Part.BODY
        return null
    }

    private enum class Part { STATUS_LINE, FIELDS, BODY }
}

private const val LINE_FEED = '\n'.code.toByte()
private const val LINE_END = "\r\n"
