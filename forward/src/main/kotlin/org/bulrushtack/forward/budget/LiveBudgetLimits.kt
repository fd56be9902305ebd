package org.bulrushtack.forward.budget

import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.http.budget.BudgetLimits

/** The limits [fixed] at the start, with the time for headers that the configuration in force allows. */
internal class LiveBudgetLimits(
    private val fixed: BudgetLimits,
    private val state: ForwardState,
) {
    private var latest = fixed

    /** The limits in force. */
    fun current(): BudgetLimits {
        val headerMillis = state.routing?.configuration?.limits?.headerMillis
        val headMillis = if (headerMillis == null) fixed.headMillis else headerMillis + TRANSPORT_MILLIS
        if (latest.headMillis != headMillis) latest = fixed.copy(headMillis = headMillis)
        return latest
    }
}

/** The time counts from when a client sends; its first bytes may arrive sooner than the last ones by this much. */
private const val TRANSPORT_MILLIS = 1_000L
