package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.SendCount
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.forward.log.LogField

/**
 * Replaces the send of one request that shows no progress. It is given up only once another server is reserved for the
 * request that is expected to answer sooner; until then its answer may still arrive.
 */
internal class UnresponsiveSendReplacement(
    private val dependencies: ExchangeDependencies,
    private val context: ForwardedRequestContext,
    private val resendGate: ResendGate,
) {
    private var standby: StandbyPlacement? = null
    private var isPaid = false

    /** Requests a placement that may replace [current], the attempt after [sends]; [excluded] servers are not used. */
    fun request(current: SendAttempt, sends: SendCount, excluded: Set<String>, reason: String) {
        val next = sends.after(SendOutcome.UNKNOWN)
        if (standby != null || !resendGate.allows(next, SendOutcome.UNKNOWN)) return
        log("A send shows no progress; requesting another placement.", current, reason)
        val requested = StandbyPlacement(CurrentSend(current, reason))
        standby = requested
        requested.start(
            AttemptPlacementFactory(dependencies, context)
                .create(number = next.total, excluded = excluded, listener = requested),
        )
    }

    /** Withdraws the request, as the current send made progress or the request ended. */
    fun cancel() {
        standby?.cancel()
        standby = null
        isPaid = false
    }

    /** Whether a resend was already withdrawn from the budget for the placement that is in hand. */
    fun takePayment(): Boolean = isPaid.also { isPaid = false }

    /** Lets [next] use the requested placement; returns false when there is none. */
    fun handTo(next: SendAttempt): Boolean {
        val requested = standby ?: return false
        standby = null
        requested.handTo(next)
        return true
    }

    private fun canAnswer(target: SendTarget): Boolean =
        dependencies.drain.leavesTimeUntil(context.expectedEndAtMillis(dependencies.thread.nowMillis(), target))

    private fun log(sentence: String, current: SendAttempt, reason: String) = dependencies.log.info(
        sentence,
        LogField("request", context.requestId),
        LogField("server", current.serverId),
        LogField("reason", reason),
        LogField("silent_millis", current.progress.silentMillis),
    )

    private inner class CurrentSend(
        private val current: SendAttempt,
        private val reason: String,
    ) : StandbyPlacement.Listener {
        override fun onStandbyPlaced(target: SendTarget) {
            val expectedMillis = target.placement?.timeToFirstTokenMillis ?: 0.0
            when {
                target.serverId == current.serverId -> keep("No other server is available.")
                !canAnswer(target) -> keep("The other server could not answer before the exit.")
                expectedMillis > current.progress.silentMillis -> keep("The other placement would not be sooner.")
                !resendGate.tryWithdraw(SendOutcome.UNKNOWN) -> keep("The retry budget allows no resend.")
                else -> {
                    isPaid = true
                    current.giveUp(reason)
                }
            }
        }

        override fun onStandbyRefused() = keep("No other server is available.")

        private fun keep(sentence: String) {
            log("$sentence The send goes on.", current, reason)
            cancel()
            current.progress.watchAgain()
        }
    }
}
