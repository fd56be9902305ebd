package org.bulrushtack.http.syntax

/** The status line of a response (RFC 9112, section 4). */
internal data class StatusLine(
    val minorVersion: Int,
    val status: Int,
) {
    /** Whether another response follows this one. */
    val isInformational: Boolean get() = status in INFORMATIONAL

    /** Whether the response to a request other than HEAD may have a body. */
    val allowsBody: Boolean get() = allowsLength && status != NOT_MODIFIED

    /** Whether a length above 0 may stand in the head, be it that of a body that is not sent. */
    val allowsLength: Boolean get() = !isInformational && status != NO_CONTENT

    /** Whether a transfer coding may stand in the head. */
    val allowsCodings: Boolean get() = allowsLength && minorVersion > 0

    companion object {
        /** Reads [line], which has no line end; returns null if it is malformed. */
        fun parse(line: String): StatusLine? = PATTERN.matchEntire(line)?.destructured?.let { (minorVersion, status) ->
            StatusLine(minorVersion = minorVersion.toInt(), status = status.toInt())
        }
    }
}

/**
 * There are no other versions of HTTP/1, and readers differ on whether one could be chunked. Servers that send no
 * reason often leave out the blank before it too.
 */
private val PATTERN = Regex("""HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?""")
private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304

@Suppress("MagicNumber")
private val INFORMATIONAL = 100..199
