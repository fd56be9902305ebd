package org.bulrushtack.core.request

/**
 * Allows retries as a share of first tries, so that a failing data centre doesn't multiply its own load.
 *
 * @property share retries earned by each first try
 * @property maximum most retries that can be saved up; asked for at each use, since it may shrink
 */
public class RetryBudget(
    private val share: () -> Double,
    private val maximum: () -> Double,
) {
    private var saved = Double.MAX_VALUE

    public constructor(share: Double = DEFAULT_SHARE, maximum: Double = DEFAULT_MAXIMUM) :
        this(share = { share }, maximum = { maximum })

    /** The retries that are left. */
    public val left: Double get() = minOf(saved, maximum())

    /** Notes a first try. */
    public fun earn() {
        saved = minOf(maximum(), saved + share())
    }

    /** Takes one retry, or says that there is none left. */
    public fun spend(): Boolean {
        saved = left
        if (saved < 1) return false
        saved -= 1
        return true
    }
}

private const val DEFAULT_SHARE = 0.2
private const val DEFAULT_MAXIMUM = 50.0
