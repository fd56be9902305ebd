package org.bulrushtack.core.duty

/** The numbering of usage windows: window k begins k times [lengthMillis] after the start of 1970 in true time. */
public class UsageWindows(
    private val lengthMillis: Long,
) {
    /** The window in which [trueTimeMillis] lies. */
    public fun at(trueTimeMillis: Long): Long = Math.floorDiv(trueTimeMillis, lengthMillis)

    /** The true time at which [window] ends. */
    public fun endMillis(window: Long): Long = (window + 1) * lengthMillis

    /** How long before [trueTimeMillis] [window] has ended; negative before its end. */
    public fun ageMillis(window: Long, trueTimeMillis: Long): Long = trueTimeMillis - endMillis(window)

    public companion object {
        /** Counts of windows that ended longer ago are forgotten, so that no new report of them is made. */
        public const val COUNTS_KEPT_MILLIS: Long = 40_000

        /** Stored reports of windows that ended longer ago are dropped; above the time in which a new one is made. */
        public const val REPORTS_KEPT_MILLIS: Long = 60_000
    }
}
