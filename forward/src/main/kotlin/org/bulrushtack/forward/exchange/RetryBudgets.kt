package org.bulrushtack.forward.exchange

import org.bulrushtack.core.request.RetryBudget

/**
 * The retry budgets of this daemon, one per service. Each daemon uses an equal share of the slack, so that all of them
 * stay within it without coordination.
 *
 * @param ratio resends per request that all daemons together may make
 * @param slack further resends that all daemons together may make
 * @param daemonCount the number of daemons that share the slack, whether reachable or not
 */
internal class RetryBudgets(
    private val ratio: () -> Double,
    private val slack: () -> Double,
    private val daemonCount: () -> Int,
) {
    private val budgets = HashMap<String, RetryBudget>()

    /** Adds the share of a resend that one request for [service] allows. */
    fun deposit(service: String) = budget(service).deposit()

    /** Withdraws one resend to [service]; returns false when none is available. */
    fun tryWithdraw(service: String): Boolean = budget(service).tryWithdraw()

    private fun budget(service: String): RetryBudget = budgets.getOrPut(service) {
        RetryBudget(
            ratio = { ratio() * SAFETY_FACTOR },
            maximumBalance = { maxOf(1.0, slack() * SAFETY_FACTOR / maxOf(MINIMUM_DAEMONS, daemonCount())) },
        )
    }
}

/** Leaves headroom for daemons that were added since the shares were computed. */
private const val SAFETY_FACTOR = 0.6

/** Keeps a daemon that has discovered few others so far from using the whole slack. */
private const val MINIMUM_DAEMONS = 6
