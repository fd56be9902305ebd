package org.bulrushtack.core.placement

/**
 * An engine that reads a part of a prompt.
 *
 * @property ticketTokens the memory to reserve there, or 0 when the part's memory lies at the first engine
 */
public data class PlacedPart(
    val serverId: String,
    val address: String,
    val ticketTokens: Long = 0,
)
