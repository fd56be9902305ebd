package org.bulrushtack.forward.wire

/**
 * An engine that reads a part of a prompt.
 *
 * @property ticketId the reservation that holds the part's memory there, or null
 */
data class Helper(
    val address: String,
    val ticketId: String?,
)
