package org.bulrushtack.core.placement

/**
 * What a placement must leave to other requests.
 *
 * @property heldEngines the ids of engines that are kept for others
 * @property avoidedEngines the ids of engines that are only taken if no others can
 * @property allowsLate whether a request that can't meet its objective may take engines
 */
public data class PlacementConstraints(
    val heldEngines: Set<String> = emptySet(),
    val avoidedEngines: Set<String> = emptySet(),
    val allowsLate: Boolean = true,
)
