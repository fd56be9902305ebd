package org.bulrushtack.forward.log

import org.bulrushtack.core.control.MonotonicClock

/** Creates the logs of a process's components, which share one rate limit for each level. */
class EventLogs(
    clock: MonotonicClock,
) {
    private val ordinary = LogRateLimiter(clock = clock)
    private val failures = LogRateLimiter(clock = clock)
    private val log = forComponent("log")

    /** Creates the log of [component]. */
    fun forComponent(component: String): EventLog =
        EventLog(component = component, ordinary = ordinary, failures = failures)

    /** Logs how many lines were suppressed since the last call, if any were. */
    fun reportSuppressed() {
        val ordinaryLines = ordinary.takeSuppressedCount()
        val failureLines = failures.takeSuppressedCount()
        if (ordinaryLines + failureLines > 0) {
            log.warn(
                "Log lines were suppressed.",
                LogField("ordinary", ordinaryLines),
                LogField("failures", failureLines),
            )
        }
    }
}
