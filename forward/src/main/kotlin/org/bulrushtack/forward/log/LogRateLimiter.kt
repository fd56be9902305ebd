package org.bulrushtack.forward.log

import org.bulrushtack.core.control.MonotonicClock

/** Limits one level of a process's log to [linesPerSecond] and counts the suppressed lines. */
class LogRateLimiter(
    private val clock: MonotonicClock,
    private val linesPerSecond: Int = DEFAULT_LINES_PER_SECOND,
) {
    private var windowStartMillis = 0L
    private var written = 0
    private var suppressed = 0L

    /** Returns the number of lines suppressed since the last call and resets it. */
    @Synchronized
    fun takeSuppressedCount(): Long = suppressed.also { suppressed = 0 }

    /** Counts one more line and returns whether it may be written. */
    @Synchronized
    fun tryAcquire(): Boolean {
        val nowMillis = clock.nowMillis()
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis
            written = 0
        }
        written += 1
        if (written > linesPerSecond) suppressed += 1
        return written <= linesPerSecond
    }
}

/** About ten times what a daemon writes in an ordinary second. */
private const val DEFAULT_LINES_PER_SECOND = 300
private const val WINDOW_MILLIS = 1_000L
