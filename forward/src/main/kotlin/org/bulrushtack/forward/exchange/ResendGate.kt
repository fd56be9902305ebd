package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.ResendPolicy
import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.route.Repeatability

/** Decides whether one request may be sent once more, and withdraws from the retry budget when it is. */
internal class ResendGate(
    private val dependencies: ExchangeDependencies,
    private val context: ForwardedRequestContext,
    private val relay: ResponseRelay,
) {
    /** Whether the time left, the route and what was relayed allow a resend after [sends], the last with [outcome]. */
    fun allows(sends: SendCount, outcome: SendOutcome): Boolean {
        val leftMillis = context.deadlineAtMillis - dependencies.thread.nowMillis()
        return leftMillis > MINIMUM_SEND_MILLIS &&
            dependencies.crashReports.quarantineMillis(context.caller.sharedParts) == 0L &&
            ResendPolicy.mayResend(route = context.route, sends = sends, outcome = outcome) &&
            (!relay.isStarted || context.route.repeatability == Repeatability.RESUMABLE)
    }

    /** Withdraws a resend after [outcome] from the budget; returns false when none is left. */
    fun tryWithdraw(outcome: SendOutcome): Boolean =
        outcome == SendOutcome.NOT_SENT || dependencies.retryBudgets.tryWithdraw(context.service)
}

/** A send with less time left could not get a response. */
private const val MINIMUM_SEND_MILLIS = 50L
