package org.bulrushtack.core.scaling

/**
 * Turns the cumulative reports of all daemons into the arriving work of each service. The first report of a daemon only
 * gives its starting point, since the time in which its counts arrived is not known.
 */
public class DemandCollector(
    private val onWork: (service: String, work: EngineWork, nowMillis: Long) -> Unit,
) {
    private val reports = HashMap<String, Report>()

    /** Takes the [totals] by service that [daemon] reports. */
    public fun receive(daemon: String, incarnation: String, totals: Map<String, DemandTotals>, nowMillis: Long) {
        val known = reports[daemon]
        val earlier = known?.takeIf { it.incarnation == incarnation }?.totals.orEmpty()
        val highest = totals.filterValues { it.isValid }.mapValues { (service, total) ->
            val counted = earlier[service]?.work ?: EngineWork.NONE
            val work = EngineWork(maxOf(total.work.short, counted.short), maxOf(total.work.long, counted.long))
            onWork(service, if (known == null) EngineWork.NONE else work + counted * -1.0, nowMillis)
            total.copy(work = work)
        }
        reports[daemon] = Report(incarnation = incarnation, atMillis = nowMillis, totals = earlier + highest)
        reports.values.removeIf { nowMillis - it.atMillis > RETENTION_MILLIS }
    }

    /** The names of the daemons that have reported lately. */
    public fun heard(nowMillis: Long): Set<String> = reports.filterValues { isFresh(it, nowMillis) }.keys

    /** The engine milliseconds that wait for a placement on [service], at all daemons that have reported lately. */
    public fun waitingMillis(service: String, nowMillis: Long): Double =
        reports.values.filter { isFresh(it, nowMillis) }.sumOf { it.totals[service]?.waitingMillis ?: 0.0 }

    /** Forgets all reports. */
    public fun clear() = reports.clear()

    private fun isFresh(report: Report, nowMillis: Long) = nowMillis - report.atMillis <= FRESH_MILLIS

    private data class Report(
        val incarnation: String,
        val atMillis: Long,
        val totals: Map<String, DemandTotals>,
    )
}

/** Three reports, of which two may be lost. */
private const val FRESH_MILLIS = 1_600L

/** A daemon that was silent for longer starts anew, so that its counts do not arrive as one burst. */
private const val RETENTION_MILLIS = 10_000L
