package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacedPart

/**
 * The memory that one send needs on several engines.
 *
 * @property sendId identifies this send among those of all daemons
 * @property firstAddress the engine that uses the memory
 * @property parts the engines that prefill parts of the prompt
 * @property freeMillis the longest time that memory may stay reserved after its last use
 */
internal data class ReservationPlan(
    val sendId: String,
    val firstAddress: String,
    val parts: List<PlacedPart>,
    val freeMillis: Long,
)
