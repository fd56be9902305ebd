package org.bulrushtack.core.exchange

import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.Route

/** Decides whether a request may be sent to one more backend server. The budget of resends is asked after this. */
public object ResendPolicy {
    /** Whether a request of [route] with [sends] behind it, the last with [outcome], may be sent once more. */
    public fun mayResend(route: Route, sends: SendCount, outcome: SendOutcome): Boolean = when (outcome) {
        SendOutcome.DELIVERED -> false
        SendOutcome.NOT_SENT -> sends.arrived < route.maximumSends && sends.notSent < MAXIMUM_NOT_SENT
        SendOutcome.NOT_RUN -> sends.arrived < route.maximumSends
        else -> sends.arrived < route.maximumSends && route.repeatability != Repeatability.ONCE
    }
}

/** Each of these costs a connection time-out; a caller's patience bears no more. */
private const val MAXIMUM_NOT_SENT = 3
