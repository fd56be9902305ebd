package org.bulrushtack.forward.log

import org.bulrushtack.core.control.MonotonicClock

/** Makes the logs of a process's parts; they share their budgets. */
class EventLogs(
    clock: MonotonicClock,
) {
    private val ordinary = LogBudget(clock = clock)
    private val failures = LogBudget(clock = clock)
    private val own = of("log")

    /** The log of [part]. */
    fun of(part: String): EventLog = EventLog(part = part, ordinary = ordinary, failures = failures)

    /** Says how many lines were left out since the last call, if any were. */
    fun reportLeftOut() {
        val ordinaryLines = ordinary.takeLeftOut()
        val failureLines = failures.takeLeftOut()
        if (ordinaryLines + failureLines > 0) {
            own.warn(
                "Log lines were left out.",
                LogField("ordinary", ordinaryLines),
                LogField("failures", failureLines),
            )
        }
    }
}
