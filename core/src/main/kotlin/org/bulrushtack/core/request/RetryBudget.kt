package org.bulrushtack.core.request

/**
 * Limits retries to a ratio of first attempts, so that a failing data centre doesn't multiply its own load.
 *
 * @property ratio retries that each first attempt adds to the balance
 * @property maximumBalance most retries that can accumulate; read at each use, since it may shrink
 */
public class RetryBudget(
    private val ratio: () -> Double,
    private val maximumBalance: () -> Double,
) {
    private var accumulated = Double.MAX_VALUE

    public constructor(ratio: Double = DEFAULT_RATIO, maximumBalance: Double = DEFAULT_MAXIMUM_BALANCE) :
        this(ratio = { ratio }, maximumBalance = { maximumBalance })

    /** The retries that are available. */
    public val balance: Double get() = minOf(accumulated, maximumBalance())

    /** Adds the share of a retry that one first attempt allows. */
    public fun deposit() {
        accumulated = minOf(maximumBalance(), accumulated + ratio())
    }

    /** Withdraws one retry; returns false when none is available. */
    public fun tryWithdraw(): Boolean {
        accumulated = balance
        if (accumulated < 1) return false
        accumulated -= 1
        return true
    }
}

private const val DEFAULT_RATIO = 0.2
private const val DEFAULT_MAXIMUM_BALANCE = 50.0
