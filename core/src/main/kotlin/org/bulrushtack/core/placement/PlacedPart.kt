package org.bulrushtack.core.placement

/**
 * An engine that prefills a part of a prompt.
 *
 * @property reservedTokens the memory to reserve there, or 0 if the first engine holds the part's memory
 */
public data class PlacedPart(
    val serverId: String,
    val address: String,
    val reservedTokens: Long = 0,
)
