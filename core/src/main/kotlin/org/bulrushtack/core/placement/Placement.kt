package org.bulrushtack.core.placement

/**
 * The engines that were selected for a request.
 *
 * @property first the engine that gets the request and decodes its answer
 * @property helpers further engines that prefill parts of the prompt
 * @property timeToFirstTokenMillis the predicted time from the send to the first token
 */
public data class Placement(
    val id: String,
    val first: PlacedPart,
    val helpers: List<PlacedPart>,
    val timeToFirstTokenMillis: Double,
)
