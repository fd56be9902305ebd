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
    STATUS_LINE("the status line is not a version, a status of 100 to 599 and a reason"),
}
