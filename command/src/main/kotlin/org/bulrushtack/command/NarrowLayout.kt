package org.bulrushtack.command

/** Lays out text for narrow screens. */
internal object NarrowLayout {
    /** The maximum length of a line, in characters. */
    const val MAX_CHARACTERS: Int = 40

    /** [label] and [value] on one line, or the value indented below when both don't fit. */
    fun row(label: String, value: String): List<String> {
        val oneLine = "$label $value"
        return if (oneLine.length <= MAX_CHARACTERS) listOf(oneLine) else wrap(label) + wrap(value, indent = INDENT)
    }

    /** [text] in lines of at most [MAX_CHARACTERS]; longer words are split. */
    fun wrap(text: String, indent: String = ""): List<String> {
        val lines = mutableListOf<String>()
        var line = ""
        text.split(' ').flatMap { it.chunked(MAX_CHARACTERS - indent.length) }.forEach { word ->
            val longer = if (line.isEmpty()) word else "$line $word"
            if (longer.length > MAX_CHARACTERS - indent.length) {
                lines.add(indent + line)
                line = word
            } else {
                line = longer
            }
        }
        return lines + (indent + line)
    }
}

private const val INDENT = "  "
