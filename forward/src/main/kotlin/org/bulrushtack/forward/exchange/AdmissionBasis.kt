package org.bulrushtack.forward.exchange

import org.bulrushtack.core.route.RoutingTable

/**
 * All besides the request itself that decides whether it is admitted.
 *
 * @property isConfirmed whether [routing] is new enough to tell that a route or a key doesn't exist
 */
internal data class AdmissionBasis(
    val routing: RoutingTable?,
    val isConfirmed: Boolean,
    val isClosing: Boolean,
    val isCutOff: Boolean,
)
