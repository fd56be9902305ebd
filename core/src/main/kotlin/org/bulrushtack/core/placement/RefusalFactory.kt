package org.bulrushtack.core.placement

import org.bulrushtack.core.admission.PlannedRequest
import org.bulrushtack.core.admission.RefusalReason
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.RetryAfterPolicy

/** Creates refusals, with the time after which the caller may try again. */
internal class RefusalFactory(
    private val retryAfterPolicy: RetryAfterPolicy,
) {
    /** The refusal of a request whose service has no engines in the configuration. */
    fun withoutService(request: PlacementRequest) = PlacementDecision.Refused(
        id = request.id,
        kind = ErrorKind.NO_BACKEND_SERVER,
        retryAfterMillis = retryAfterPolicy.delayMillis(),
        reason = RefusalReason.NO_SERVICE,
    )

    /** The refusal of a request that has waited until it had to be given up. */
    fun afterWait(request: PlacementRequest, waiting: Int, servers: Int) = PlacementDecision.Refused(
        id = request.id,
        kind = ErrorKind.OVERLOADED,
        retryAfterMillis = retryAfterPolicy.delayMillis(waiting = waiting, servers = servers),
        reason = RefusalReason.WAIT_OVER,
    )

    /** The refusal of a request that can't be placed before it has to be given up. */
    fun early(planned: PlannedRequest, nowMillis: Long): PlacementDecision.Refused {
        val request = planned.queued.request
        val callerLeavesAtMillis = request.receivedAtMillis +
            (request.giveUpAtMillis - request.receivedAtMillis) * CALLERS_WAIT_FACTOR
        return PlacementDecision.Refused(
            id = request.id,
            kind = ErrorKind.OVERLOADED,
            retryAfterMillis = retryAfterPolicy.delayMillis(
                roomInMillis = planned.roomInMillis,
                leftMillis = callerLeavesAtMillis - nowMillis,
            ),
            reason = RefusalReason.NO_ROOM_IN_TIME,
        )
    }
}

/** A request is given up after half of the time that its caller waits for a first event. */
private const val CALLERS_WAIT_FACTOR = 2
