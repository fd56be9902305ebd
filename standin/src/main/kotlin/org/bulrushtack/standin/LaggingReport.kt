package org.bulrushtack.standin

/** Shows a report as it was [lagMillis] ago. */
class LaggingReport(
    private val lagMillis: Long,
) {
    private val reports = ArrayDeque<TimedReport>()

    /** Notes the report of this moment. */
    @Synchronized
    fun note(report: Any, nowMillis: Long) {
        reports.addLast(TimedReport(atMillis = nowMillis, report = report))
        while (reports.size > 1 && reports[1].atMillis <= nowMillis - lagMillis) reports.removeFirst()
    }

    /** The report to show at [nowMillis], or null before the first is old enough. */
    @Synchronized
    fun shown(nowMillis: Long): Any? = reports.lastOrNull { it.atMillis <= nowMillis - lagMillis }?.report

    private data class TimedReport(
        val atMillis: Long,
        val report: Any,
    )
}
