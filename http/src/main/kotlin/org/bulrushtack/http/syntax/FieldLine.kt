package org.bulrushtack.http.syntax

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * A field of a head or of trailers (RFC 9112, section 5).
 *
 * @property name the name in lower case
 */
internal data class FieldLine(
    val name: String,
    val value: String,
) {
    /** Whether the field tells where the body ends. */
    val isFraming: Boolean get() = name == CONTENT_LENGTH || name == TRANSFER_ENCODING

    companion object {
        const val CONTENT_LENGTH = "content-length"
        const val TRANSFER_ENCODING = "transfer-encoding"

        /** Reads [line], which has no line end; returns the rule that it breaks if it is malformed. */
        fun parse(line: String): Either<ResponseRule, FieldLine> {
            val name = line.substringBefore(':', missingDelimiterValue = "")
            val value = line.substringAfter(':')
            return when {
                !TOKEN.matches(name) -> ResponseRule.FIELD_NAME.left()
                !isValue(value) -> ResponseRule.FIELD_VALUE.left()
                else -> FieldLine(name = name.lowercase(), value = value.trim(' ', '\t')).right()
            }
        }

        /** Whether a reader that ignores blanks could take [text] for a field. */
        fun isLikeField(text: String): Boolean = TOKEN.matches(text.substringBefore(':', "").trim(' ', '\t'))

        /** Whether [text] holds no control byte but tabs; bytes above ASCII are obsolete and allowed. */
        fun isValue(text: String): Boolean = text.none { (it < ' ' && it != '\t') || it == DELETE }
    }
}

private const val DELETE = '\u007f'
private val TOKEN = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
