package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.core.placement.Placement

/**
 * Where one send goes.
 *
 * @property placement the place on engines, or null for a plain server
 */
internal data class SendTarget(
    val serverId: String,
    val address: String,
    val placement: Placement? = null,
) {
    /** The engines that read parts of the prompt beside the first. */
    val helpers: List<PlacedPart> get() = placement?.helpers.orEmpty()

    /** The id of the server at [faultyAddress] if it takes part, or that of the server that got the request. */
    fun idOf(faultyAddress: String?): String =
        helpers.firstOrNull { it.address == faultyAddress }?.serverId ?: serverId
}
