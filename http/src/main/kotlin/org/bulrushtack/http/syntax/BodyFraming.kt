package org.bulrushtack.http.syntax

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Where the body of a response ends (RFC 9112, section 6.3). */
internal sealed interface BodyFraming {
    /** After [bytes]. */
    data class Length(
        val bytes: Long,
    ) : BodyFraming

    /** After the last chunk and its trailers. */
    data object Chunked : BodyFraming

    /** With the connection. */
    data object ConnectionEnd : BodyFraming

    companion object {
        /**
         * The framing of a response with [statusLine] and [fields]. Only the coding "chunked" is ever accepted, since
         * requests offer no other one.
         */
        fun of(
            statusLine: StatusLine,
            fields: FieldLines,
            isHeadRequest: Boolean,
        ): Either<ResponseRule, BodyFraming> {
            val lengths = fields.values(FieldLine.CONTENT_LENGTH)
            val codings = fields.values(FieldLine.TRANSFER_ENCODING)
            val length = lengths.singleOrNull()?.takeIf { DIGITS.matches(it) }?.toLongOrNull()
            val isChunked = codings.singleOrNull().equals(CHUNKED, ignoreCase = true)
            val isSound = when {
                codings.isNotEmpty() -> isChunked && lengths.isEmpty() && statusLine.allowsCodings
                lengths.isNotEmpty() -> length != null && (length == 0L || statusLine.allowsLength)
                else -> true
            }
            return when {
                !isSound -> ResponseRule.FRAMING.left()
                isHeadRequest || !statusLine.allowsBody -> Length(bytes = 0).right()
                isChunked -> Chunked.right()
                length != null -> Length(bytes = length).right()
                else -> ConnectionEnd.right()
            }
        }
    }
}

private const val CHUNKED = "chunked"
private val DIGITS = Regex("[0-9]+")
