package org.bulrushtack.core.placement

/**
 * What a taker says of a placement that has ended.
 *
 * @property serverId the server that the outcome is about
 * @property slowness how many times longer than predicted the first event took; null when none came
 */
public data class PlacementReport(
    val placementId: String,
    val serverId: String,
    val outcome: PlacementOutcome,
    val slowness: Double?,
)
