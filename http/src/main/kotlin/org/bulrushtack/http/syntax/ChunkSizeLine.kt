package org.bulrushtack.http.syntax

/** The line in front of a chunk (RFC 9112, section 7.1). */
internal object ChunkSizeLine {
    private const val RADIX = 16
    private val PATTERN = Regex("""([0-9a-fA-F]+)(?:[\t ]*;[\t\x20-\x7e\x80-\xff]*)?""")

    /** The bytes of the chunk after [line], which has no line end; null if the line is malformed. */
    fun parse(line: String): Long? = PATTERN.matchEntire(line)?.groupValues?.get(1)?.toLongOrNull(RADIX)
}
