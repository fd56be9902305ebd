package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacedPart
import org.bulrushtack.core.placement.Placement

/**
 * The backend server that one send goes to.
 *
 * @property placement the placement on engines, or null for a plain server
 */
internal data class SendTarget(
    val serverId: String,
    val address: String,
    val placement: Placement? = null,
) {
    /** The engines besides the first that prefill parts of the prompt. */
    val helpers: List<PlacedPart> get() = placement?.helpers.orEmpty()

    /** The id of the helper at [faultyAddress]; without such a helper, that of the server that got the request. */
    fun responsibleServerId(faultyAddress: String?): String =
        helpers.firstOrNull { it.address == faultyAddress }?.serverId ?: serverId
}
