package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.StreamTimeouts
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.Workspace
import org.bulrushtack.forward.wire.CallerRequestHead
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
    val caller: CallerRequestHead,
    val workspace: Workspace?,
    val patience: StreamTimeouts,
    val receivedAtMillis: Long,
    val finalAtMillis: Long,
    val request: HttpMessageRequest,
) {
    /** The rank among requests that wait; 0 is the most urgent. */
    val priority: Int get() = workspace?.priority ?: route.priority

    /** How long the first answer of [target] may take before another server is tried. */
    fun firstAnswerMillis(target: SendTarget): Long {
        val predicted = target.placement?.timeToFirstTokenMillis ?: return route.objectiveMillis * PLAIN_OBJECTIVES
        val expected = (predicted * PREDICTION_FACTOR).toLong() + PREDICTION_MARGIN_MILLIS
        return expected.coerceIn(SHORTEST_SILENCE_MILLIS, maxOf(SHORTEST_SILENCE_MILLIS, patience.firstEventMillis))
    }
}

/** A first answer counts as missing after this many times its prediction, and some more. */
private const val PREDICTION_FACTOR = 2.5
private const val PREDICTION_MARGIN_MILLIS = 400L
private const val SHORTEST_SILENCE_MILLIS = 600L

/** A plain call that may be repeated goes to another server after this many objectives. */
private const val PLAIN_OBJECTIVES = 3
