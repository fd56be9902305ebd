package org.bulrushtack.core.placement

/**
 * Where work goes.
 *
 * @property first the engine that gets the request
 * @property helpers further engines that read parts of the prompt
 * @property firstEventMillis the predicted time from the send to the first event
 */
public data class Placement(
    val id: String,
    val first: PlacedPart,
    val helpers: List<PlacedPart>,
    val firstEventMillis: Double,
)
