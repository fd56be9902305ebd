package org.bulrushtack.core.placement

/**
 * The calls in flight on plain servers at all daemons together. Daemons report their own counts with each sync to the
 * first daemons in rank, which reply with the sums. The counts are averaged over some replies, since calls are much
 * shorter than the interval between two syncs.
 */
public class PlainLoads {
    private val reports = HashMap<String, Report>()
    private val averages = HashMap<String, Double>()
    private var replies = 0
    private var receivedAtMillis: Long? = null

    /** Records the [counts] by server id that [daemon] has in flight at [nowMillis]. */
    public fun recordReport(daemon: String, counts: Map<String, Long>, nowMillis: Long) {
        reports.values.removeIf { nowMillis - it.atMillis > MAXIMUM_AGE_MILLIS }
        reports[daemon] = Report(counts.mapValues { (_, count) -> count.coerceIn(0, MAXIMUM_COUNT) }, nowMillis)
    }

    /** The sums of [own] counts and those that other daemons have reported lately. */
    public fun totals(own: Map<String, Int>, nowMillis: Long): Map<String, Long> {
        val totals = HashMap<String, Long>()
        own.forEach { (id, count) -> totals.merge(id, count.toLong(), Long::plus) }
        reports.values.filter { nowMillis - it.atMillis <= MAXIMUM_AGE_MILLIS }
            .forEach { report -> report.counts.forEach { (id, count) -> totals.merge(id, count, Long::plus) } }
        return totals
    }

    /** Records the sums that a first daemon in rank gave at [nowMillis]; none at all says nothing. */
    public fun recordTotals(totals: Map<String, Long>, nowMillis: Long) {
        if (totals.isEmpty()) return
        if (!isFresh(nowMillis)) forgetAverages()
        replies += 1
        val weight = maxOf(WEIGHT, 1.0 / replies)
        (averages.keys + totals.keys).toList().forEach { id ->
            val count = (totals[id] ?: 0L).coerceIn(0, MAXIMUM_COUNT).toDouble()
            val average = averages[id]
            averages[id] = if (average == null) count else average + weight * (count - average)
        }
        averages.values.removeIf { it < FORGOTTEN_COUNT }
        receivedAtMillis = nowMillis
    }

    /** Whether sums have arrived within the last second. */
    public fun isFresh(nowMillis: Long): Boolean =
        receivedAtMillis.let { it != null && nowMillis - it <= MAXIMUM_AGE_MILLIS }

    /** The calls in flight on [id] at all daemons, on average over the last replies. */
    public fun inFlight(id: String): Double = averages[id] ?: 0.0

    private fun forgetAverages() {
        averages.clear()
        replies = 0
    }

    private class Report(
        val counts: Map<String, Long>,
        val atMillis: Long,
    )
}

/** Older counts say nothing about calls that take less than a tenth of this. */
private const val MAXIMUM_AGE_MILLIS = 1_000L

/**
 * About twenty replies, some seconds. Single sums differ by chance by a third of a server's slots, and all daemons
 * would follow the chance together.
 */
private const val WEIGHT = 0.05
private const val FORGOTTEN_COUNT = 0.001

/** Far above the calls of any daemon; a count from the wire may be any number. */
private const val MAXIMUM_COUNT = 1_000_000L
