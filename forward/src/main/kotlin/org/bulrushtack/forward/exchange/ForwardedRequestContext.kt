package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.AnswerTimeEstimate
import org.bulrushtack.core.exchange.StreamTimeouts
import org.bulrushtack.core.route.Route
import org.bulrushtack.core.route.Workspace
import org.bulrushtack.forward.store.ConfigurationKnowledge
import org.bulrushtack.forward.wire.CallerRequestHead
import org.bulrushtack.http.HttpMessageRequest

/**
 * The immutable data of one caller's request.
 *
 * @property service the service that was drawn for the request from the route's traffic split
 * @property deadlineAtMillis the time of the monotonic clock by which the caller needs the final response
 * @property answerTime the time that a send is estimated to take
 * @property knowledge the configuration by which the request was admitted, as it was known then
 */
internal data class ForwardedRequestContext(
    val requestId: String,
    val service: String,
    val route: Route,
    val caller: CallerRequestHead,
    val workspace: Workspace?,
    val timeouts: StreamTimeouts,
    val receivedAtMillis: Long,
    val deadlineAtMillis: Long,
    val answerTime: AnswerTimeEstimate,
    val request: HttpMessageRequest,
    val knowledge: ConfigurationKnowledge,
) {
    /** The priority among waiting requests; 0 is the most urgent. */
    val priority: Int get() = workspace?.priority ?: route.priority

    /** When the caller is expected to have its final response if the request is sent at [nowMillis], to [target]. */
    fun expectedEndAtMillis(nowMillis: Long, target: SendTarget? = null): Long {
        val firstEventMillis = target?.placement?.timeToFirstTokenMillis?.toLong() ?: answerTime.firstEventMillis
        return minOf(nowMillis + firstEventMillis + answerTime.remainderMillis, deadlineAtMillis)
    }

    /** How long [target] may take to its first event, or to a whole response, before another server is tried. */
    fun firstResponseTimeoutMillis(target: SendTarget): Long {
        val predicted = target.placement?.timeToFirstTokenMillis ?: return route.objectiveMillis * OBJECTIVE_FACTOR
        val expected = (predicted * PREDICTION_FACTOR).toLong() + PREDICTION_MARGIN_MILLIS
        val latest = maxOf(timeouts.firstEventMillis, predicted.toLong() + PREDICTION_MARGIN_MILLIS)
        return maxOf(MINIMUM_TIMEOUT_MILLIS, minOf(expected, latest))
    }
}

/** The first response counts as missing after this many times its predicted time, plus the margin. */
private const val PREDICTION_FACTOR = 2.5
private const val PREDICTION_MARGIN_MILLIS = 400L
private const val MINIMUM_TIMEOUT_MILLIS = 600L

/** A repeatable call to a plain service goes to another server after this many times the route's objective. */
private const val OBJECTIVE_FACTOR = 3
