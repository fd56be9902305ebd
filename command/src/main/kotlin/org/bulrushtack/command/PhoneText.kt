package org.bulrushtack.command

/** Lays text out for a narrow screen. */
internal object PhoneText {
    /** The widest line, in characters. */
    const val WIDTH: Int = 40

    /** [label] and [value] on one line, or the value indented below where both don't fit. */
    fun row(label: String, value: String): List<String> {
        val oneLine = "$label $value"
        return if (oneLine.length <= WIDTH) listOf(oneLine) else wrap(label) + wrap(value, indent = INDENT)
    }

    /** [text] in lines that are no wider than [WIDTH]; words that are wider are cut. */
    fun wrap(text: String, indent: String = ""): List<String> {
        val lines = mutableListOf<String>()
        var line = ""
        text.split(' ').flatMap { it.chunked(WIDTH - indent.length) }.forEach { word ->
            val longer = if (line.isEmpty()) word else "$line $word"
            if (longer.length > WIDTH - indent.length) {
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
