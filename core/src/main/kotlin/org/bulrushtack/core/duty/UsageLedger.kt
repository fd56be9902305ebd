package org.bulrushtack.core.duty

import java.util.TreeMap
import java.util.TreeSet

/**
 * The counts that the holder of the duties has collected, and which windows it has to report. A window is closed a
 * while after its end; its report is made once and then never changes.
 */
public class UsageLedger(
    private val windows: UsageWindows,
    private val lateMillis: Long,
) {
    private val counts = TreeMap<Long, HashMap<String, HashMap<String, Long>>>()
    private val acceptedWindows = TreeSet<Long>()
    private var stored: Set<Long> = emptySet()
    private var settledThrough = Long.MIN_VALUE

    /** Incremented with each change to what [snapshot] returns. */
    public var revision: Long = 0
        private set

    /** The windows whose report the platform has accepted. */
    public val accepted: Set<Long> get() = acceptedWindows

    /** Takes the cumulative [usage] of the daemon incarnation [source]; a repeat or older message changes nothing. */
    public fun receive(source: String, usage: Map<Long, Map<String, Long>>) = usage
        .filterKeys { it > settledThrough && it !in stored }
        .forEach { (window, byWorkspace) ->
            val known = counts.getOrPut(window) { HashMap() }.getOrPut(source) { HashMap() }
            byWorkspace.filter { (workspace, count) -> count > (known[workspace] ?: 0) }.forEach { (workspace, count) ->
                known[workspace] = count
                revision += 1
            }
        }

    /** Takes in what an earlier holder has saved. */
    public fun restore(snapshot: UsageSnapshot) {
        settledThrough = maxOf(settledThrough, snapshot.settledThrough)
        acceptedWindows.addAll(snapshot.accepted)
        snapshot.counts.forEach { (source, usage) -> receive(source, usage) }
    }

    /** What the next holder needs. */
    public fun snapshot(): UsageSnapshot {
        val bySource = HashMap<String, HashMap<Long, Map<String, Long>>>()
        counts.forEach { (window, sources) ->
            sources.forEach { (source, byWorkspace) ->
                bySource.getOrPut(source) { HashMap() }[window] = byWorkspace.toMap()
            }
        }
        return UsageSnapshot(settledThrough, acceptedWindows.tailSet(settledThrough, false).toSet(), bySource)
    }

    /** Takes in for which windows the store holds a report, and forgets what is not needed any more. */
    public fun update(storedWindows: Set<Long>, trueTimeMillis: Long) {
        stored = storedWindows
        counts.keys.removeIf { window ->
            val isForgotten = windows.ageMillis(window, trueTimeMillis) > UsageWindows.COUNTS_KEPT_MILLIS
            isForgotten || window in stored || window <= settledThrough
        }
        acceptedWindows.removeIf { it <= settledThrough }
    }

    /** Records that the platform has accepted the report of [window]. */
    public fun markAccepted(window: Long) {
        if (acceptedWindows.add(window)) revision += 1
    }

    /** Ends all reporting of [window] and of earlier ones, so that their stored reports can be dropped. */
    public fun settle(window: Long) {
        settledThrough = maxOf(settledThrough, window)
        revision += 1
    }

    /**
     * The reports that have to be made at [trueTimeMillis] by a holder since [heldSinceMillis] of true time. A window
     * without counts is reported as empty, unless it is old and ended before this daemon became holder.
     */
    public fun dueReports(trueTimeMillis: Long, heldSinceMillis: Long): List<UsageReport> {
        val oldest = windows.at(trueTimeMillis - UsageWindows.COUNTS_KEPT_MILLIS)
        val newest = windows.at(trueTimeMillis - CLOSING_DELAY_MILLIS) - 1
        return (maxOf(oldest, settledThrough + 1)..newest)
            .filter { it !in stored }
            .map { report(it) }
            .filter { report ->
                val isKnown = windows.endMillis(report.window) >= heldSinceMillis
                val isRecent = windows.ageMillis(report.window, trueTimeMillis) <= UNKNOWN_LATE_FACTOR * lateMillis
                report.counts.isNotEmpty() || isKnown || isRecent
            }
    }

    private fun report(window: Long): UsageReport {
        val sources = counts[window].orEmpty()
        val sums = TreeMap<String, Long>()
        sources.values.forEach { byWorkspace ->
            byWorkspace.forEach { (workspace, count) -> sums.merge(workspace, count, Long::plus) }
        }
        return UsageReport(window = window, counts = sums, sources = sources.size)
    }
}

/** Five reports of each daemon fit in, of which some may be lost. */
private const val CLOSING_DELAY_MILLIS = 2_500L
private const val UNKNOWN_LATE_FACTOR = 2
