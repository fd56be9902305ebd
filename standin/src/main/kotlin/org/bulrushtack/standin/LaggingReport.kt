package org.bulrushtack.standin

/** Delays reports by [lagMillis]. */
class LaggingReport(
    private val lagMillis: Long,
) {
    private val reports = ArrayDeque<TimedReport>()

    /** Records the current report. */
    @Synchronized
    fun record(report: Any, nowMillis: Long) {
        reports.addLast(TimedReport(atMillis = nowMillis, report = report))
        while (reports.size > 1 && reports[1].atMillis <= nowMillis - lagMillis) reports.removeFirst()
    }

    /** The latest report that is visible at [nowMillis], or null before the first is old enough. */
    @Synchronized
    fun visibleReport(nowMillis: Long): Any? = reports.lastOrNull { it.atMillis <= nowMillis - lagMillis }?.report

    private data class TimedReport(
        val atMillis: Long,
        val report: Any,
    )
}
