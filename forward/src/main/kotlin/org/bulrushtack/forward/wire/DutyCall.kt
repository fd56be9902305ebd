package org.bulrushtack.forward.wire

/**
 * A call to the platform's duty address.
 *
 * @property path the path of the call, which is a POST
 * @property body a JSON object; a repeat of the call has to send the same bytes
 */
class DutyCall(
    val path: String,
    val body: ByteArray,
)
