package org.bulrushtack.http.syntax

/**
 * The parts of one response, in their order. Informational responses before it belong to it. A body that ends with the
 * connection is endless here.
 */
internal class ResponseMessage {
    private var isHeadRequest = false
    private var statusLine: StatusLine? = null
    private var fields = FieldLines()
    private var partAfterBody = Part.END
    private var remainingBytes = 0L

    /** The part that is read next. */
    var part = Part.END
        private set

    /** Starts with the status line. */
    fun start(isHeadRequest: Boolean) {
        this.isHeadRequest = isHeadRequest
        part = Part.STATUS_LINE
    }

    /** Reads [line], which has no line end, and returns the rule that it breaks, or null. */
    fun readLine(line: String): ResponseRule? = when (part) {
        Part.STATUS_LINE -> startHead(StatusLine.parse(line))
        Part.FIELDS -> if (line.isEmpty()) endHead() else fields.add(line)
        Part.CHUNK_SIZE -> startChunk(ChunkSizeLine.parse(line))
        Part.CHUNK_END -> if (line.isEmpty()) proceed(Part.CHUNK_SIZE) else ResponseRule.CHUNK
        Part.TRAILERS -> if (line.isEmpty()) endTrailers() else fields.add(line)
        Part.BODY, Part.END -> error("no line is expected")
    }

    /** Reads up to [availableBytes] of the body and returns how many belong to it. */
    fun readBody(availableBytes: Int): Int {
        val bytes = minOf(remainingBytes, availableBytes.toLong())
        remainingBytes -= bytes
        if (remainingBytes == 0L) part = partAfterBody
        return bytes.toInt()
    }

    private fun startHead(parsed: StatusLine?): ResponseRule? {
        statusLine = parsed
        fields = FieldLines()
        return if (parsed == null) ResponseRule.STATUS_LINE else proceed(Part.FIELDS)
    }

    private fun endHead(): ResponseRule? {
        val status = checkNotNull(statusLine)
        return BodyFraming.of(status, fields, isHeadRequest).fold(ifLeft = { it }) { framing ->
            if (status.isInformational) proceed(Part.STATUS_LINE) else startBody(framing)
        }
    }

    private fun startBody(framing: BodyFraming): ResponseRule? = when (framing) {
        is BodyFraming.Length -> startBody(framing.bytes, next = Part.END)
        BodyFraming.Chunked -> proceed(Part.CHUNK_SIZE)
        BodyFraming.ConnectionEnd -> startBody(bytes = Long.MAX_VALUE, next = Part.END)
    }

    private fun startChunk(bytes: Long?): ResponseRule? {
        fields = FieldLines()
        return when (bytes) {
            null -> ResponseRule.CHUNK
            0L -> proceed(Part.TRAILERS)
            else -> startBody(bytes, next = Part.CHUNK_END)
        }
    }

    private fun startBody(bytes: Long, next: Part): ResponseRule? {
        remainingBytes = bytes
        partAfterBody = next
        return proceed(if (bytes == 0L) next else Part.BODY)
    }

    /** A length in the trailers would come too late for a reader that joins them to the head. */
    private fun endTrailers(): ResponseRule? = if (fields.hasFraming) ResponseRule.FRAMING else proceed(Part.END)

    /** Goes on with [next]; returns that no rule is broken. */
    private fun proceed(next: Part): ResponseRule? {
        part = next
        return null
    }

    /** A part of a response. */
    enum class Part { STATUS_LINE, FIELDS, BODY, CHUNK_SIZE, CHUNK_END, TRAILERS, END }
}
