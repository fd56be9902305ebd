package org.bulrushtack.forward.wire

/**
 * An engine that prefills a part of a prompt.
 *
 * @property reservationId the id of the memory reservation for this part on the engine, or null when it has none
 */
data class PrefillHelper(
    val address: String,
    val reservationId: String?,
)
