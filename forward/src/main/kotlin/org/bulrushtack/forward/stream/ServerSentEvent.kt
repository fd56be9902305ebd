package org.bulrushtack.forward.stream

/**
 * One complete server-sent event.
 *
 * @property bytes the event as the server sent it, including the empty line that terminates it
 * @property id the event's id, or null when it has none
 * @property isWellFormed whether its first line is a field, a comment or empty, so that it can be part of a stream
 * @property isMessage whether it carries an id or data; others, such as comments, tell nothing about the answer
 */
internal class ServerSentEvent(
    val bytes: ByteArray,
    val id: String?,
    val isMessage: Boolean,
    val isWellFormed: Boolean,
)
