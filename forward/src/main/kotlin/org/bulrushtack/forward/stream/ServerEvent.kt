package org.bulrushtack.forward.stream

/**
 * One whole server-sent event.
 *
 * @property bytes the event as the server sent it, with the empty line at its end
 * @property id the event's id, or null when it has none
 */
internal class ServerEvent(
    val bytes: ByteArray,
    val id: String?,
)
