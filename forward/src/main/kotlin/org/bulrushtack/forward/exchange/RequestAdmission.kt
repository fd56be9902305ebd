package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.route.RoutingTable
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.wire.CallerRequestHead
import org.bulrushtack.http.HttpMessageRequest

/**
 * Decides by the configuration in force whether a request is forwarded. A configuration that has not been confirmed
 * for too long still tells what exists, but not what doesn't.
 *
 * @param configurationAgeMillis the time since this daemon or another one read the operators' records that are applied
 */
internal class RequestAdmission(
    private val state: ForwardState,
    private val drain: DrainState,
    private val configurationAgeMillis: () -> Long,
    private val nowMillis: () -> Long,
) {
    /** What requests are decided by at present. */
    val basis: AdmissionBasis
        get() = AdmissionBasis(
            routing = state.routing,
            isConfirmed = configurationAgeMillis() <= CONFIRMED_MILLIS,
            isClosing = drain.rejectsNewRequests(nowMillis()),
            isCutOff = state.isCutOff,
        )

    /** Decides on [request] with its [head]. */
    fun decide(request: HttpMessageRequest, head: CallerRequestHead): AdmissionDecision {
        val basis = basis
        return when {
            basis.isClosing -> AdmissionDecision.Refused(ErrorKind.DRAINING)
            basis.routing == null -> AdmissionDecision.Refused(ErrorKind.NOT_READY)
            basis.isCutOff -> AdmissionDecision.Refused(ErrorKind.SERVERS_UNREACHABLE)
            head.attemptId == null -> AdmissionDecision.Refused(ErrorKind.MALFORMED_REQUEST)
            else -> decide(request, head, basis.routing, basis.isConfirmed)
        }
    }

    private fun decide(
        request: HttpMessageRequest,
        head: CallerRequestHead,
        routing: RoutingTable,
        isConfirmed: Boolean,
    ): AdmissionDecision {
        val path = request.target.substringBefore('?')
        val route = routing.route(host = request.headers.find("host").orEmpty(), path = path)
        val workspace = head.key?.let { routing.workspace(it) }
        return when {
            route != null && (workspace != null || route.open || !routing.needsKey) ->
                AdmissionDecision.Admitted(route, workspace)
            !isConfirmed -> AdmissionDecision.Refused(ErrorKind.CONFIGURATION_OUTDATED)
            route == null -> AdmissionDecision.Refused(ErrorKind.UNKNOWN_PATH)
            else -> AdmissionDecision.Refused(ErrorKind.UNAUTHENTICATED)
        }
    }
}

/**
 * A daemon has 2,000 ms from the acknowledgement of a change on. It knows all that was acknowledged this long ago, and
 * in calm its knowledge is at most about 1,000 ms old.
 */
private const val CONFIRMED_MILLIS = 1_500L
