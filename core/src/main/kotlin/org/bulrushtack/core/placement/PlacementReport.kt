package org.bulrushtack.core.placement

/**
 * The ingress daemon's report on a completed placement.
 *
 * @property serverId the server that the outcome is about
 * @property slowness the ratio of measured to predicted time to first token; null if no token arrived
 */
public data class PlacementReport(
    val placementId: String,
    val serverId: String,
    val outcome: PlacementOutcome,
    val slowness: Double?,
)
