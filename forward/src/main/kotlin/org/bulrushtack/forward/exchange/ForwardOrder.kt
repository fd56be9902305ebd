package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.Patience
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.Workspace
import org.bulrushtack.forward.wire.CallerHead
import org.bulrushtack.http.HttpMessageRequest

/**
 * What does not change of one caller's request.
 *
 * @property service the service that it drew from the route's split
 * @property finalAtMillis the steady time at which the caller needs its final answer
 */
internal data class ForwardOrder(
    val requestId: String,
    val service: String,
    val route: Route,
    val caller: CallerHead,
    val workspace: Workspace?,
    val patience: Patience,
    val receivedAtMillis: Long,
    val finalAtMillis: Long,
    val request: HttpMessageRequest,
) {
    /** The rank among requests that wait; 0 is the most urgent. */
    val priority: Int get() = workspace?.priority ?: route.priority
}
