package org.bulrushtack.http.syntax

/** The fields of a head or of trailers, as they arrive line by line. */
internal class FieldLines {
    private val fields = ArrayList<FieldLine>()

    /** Adds [line], which is a field or continues the field before it; returns the rule that it breaks, or null. */
    fun add(line: String): ResponseRule? =
        if (line.startsWith(' ') || line.startsWith('\t')) {
            checkFoldedLine(line)
        } else {
            FieldLine.parse(line).fold(ifLeft = { it }, ifRight = { field -> null.also { fields.add(field) } })
        }

    /** The values of all fields with [name], which is in lower case. */
    fun values(name: String): List<String> = fields.filter { it.name == name }.map { it.value }

    /** Whether any field tells where a body ends. */
    val hasFraming: Boolean get() = fields.any { it.isFraming }

    /** Line folding is obsolete; it is accepted where every reader joins the lines to the same fields. */
    private fun checkFoldedLine(line: String): ResponseRule? {
        val continued = fields.lastOrNull()
        return when {
            continued == null -> ResponseRule.FIELD_NAME
            continued.isFraming || continued.value.isEmpty() -> ResponseRule.FOLDED_LINE
            line.isBlank() || FieldLine.isLikeField(line) -> ResponseRule.FOLDED_LINE
            !FieldLine.isValue(line) -> ResponseRule.FIELD_VALUE
            else -> null
        }
    }
}
