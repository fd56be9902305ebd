package org.bulrushtack.forward.exchange

import org.bulrushtack.core.request.RetryBudget

/**
 * The resends that this daemon may make to each service. The daemons keep to equal shares of the slack, so that they
 * stay within it together without speaking to one another.
 *
 * @param ratio resends for each request that all daemons together may make
 * @param slack further resends that all daemons together may make
 * @param daemons how many daemons share the slack, whether they can be reached or not
 */
internal class RetryBudgets(
    private val ratio: () -> Double,
    private val slack: () -> Double,
    private val daemons: () -> Int,
) {
    private val budgets = HashMap<String, RetryBudget>()

    /** Notes a request for [service]. */
    fun earn(service: String) = budget(service).deposit()

    /** Takes one resend to [service], or says that there is none left. */
    fun spend(service: String): Boolean = budget(service).tryWithdraw()

    private fun budget(service: String): RetryBudget = budgets.getOrPut(service) {
        RetryBudget(
            ratio = { ratio() * SAFE_SHARE },
            maximumBalance = { maxOf(1.0, slack() * SAFE_SHARE / maxOf(FEWEST_DAEMONS, daemons())) },
        )
    }
}

/** Leaves room for daemons that were added since the shares were cut. */
private const val SAFE_SHARE = 0.6

/** A daemon that has heard of few others yet does not take the whole slack. */
private const val FEWEST_DAEMONS = 6
