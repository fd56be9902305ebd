package org.bulrushtack.core.exchange

import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route

/** Decides whether a request may be sent to another backend server. The retry budget is checked afterwards. */
public object ResendPolicy {
    /** Whether a request of [route] may be sent again after [sends], the last of which had [outcome]. */
    public fun mayResend(route: Route, sends: SendCount, outcome: SendOutcome): Boolean = when (outcome) {
        SendOutcome.DELIVERED -> false
        SendOutcome.NOT_SENT -> sends.arrived < route.maximumSends && sends.notSent < MAXIMUM_NOT_SENT
        SendOutcome.NOT_RUN -> sends.arrived < route.maximumSends
        else -> sends.arrived < route.maximumSends && route.repeatability != Repeatability.ONCE
    }
}

/** Each of these costs a connection timeout; more of them would exceed the time that callers wait. */
private const val MAXIMUM_NOT_SENT = 3
