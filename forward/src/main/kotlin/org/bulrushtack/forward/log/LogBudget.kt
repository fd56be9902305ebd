package org.bulrushtack.forward.log

import org.bulrushtack.core.control.MonotonicClock

/** Bounds the log lines of a process: [linesPerSecond] of each level, the rest are counted. */
class LogBudget(
    private val clock: MonotonicClock,
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) {
    private var windowStartMillis = 0L
    private var written = 0
    private var leftOut = 0L

    /** Lines that were left out since the last call. */
    @Synchronized
    fun takeLeftOut(): Long = leftOut.also { leftOut = 0 }

    /** Whether one more line may be written. */
    @Synchronized
    fun allows(): Boolean {
        val nowMillis = clock.nowMillis()
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis
            written = 0
        }
        written += 1
        if (written > linesPerSecond) leftOut += 1
        return written <= linesPerSecond
    }
}

/** About ten times the lines of a daemon in an ordinary second. */
private const val DEFAULT_LINES_PER_SECOND = 300
private const val WINDOW_MILLIS = 1_000L
