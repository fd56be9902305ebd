package org.bulrushtack.http.syntax

/**
 * The rules of HTTP/1.1 whose breach leaves no response.
 *
 * @property breach what a response that breaks the rule holds
 */
internal enum class ResponseRule(
    val breach: String,
) {
    LINE_END("a line does not end with a carriage return and a line feed"),
    LINE_LENGTH("a line is too long"),
    STATUS_LINE("the status line is not a version, a status of 100 to 599 and a reason"),
    FIELD_NAME("the name of a field is not a token"),
    FIELD_VALUE("the value of a field holds a control byte"),
    FOLDED_LINE("a folded line is blank, reads as a field, or continues one that is empty or frames the body"),
    FRAMING("the length and the transfer codings are malformed or contradict each other"),
    CHUNK("a chunk has no proper size or end"),
}
