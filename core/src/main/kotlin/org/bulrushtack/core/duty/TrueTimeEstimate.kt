package org.bulrushtack.core.duty

import kotlin.math.abs

/**
 * A daemon's estimate of true time as an offset to its monotonic clock. Daemons that lead take the median of the wall
 * clocks of all daemons that they hear; the others adopt what the leaders reply. A wall clock that jumps against the
 * monotonic clock may show that the process was suspended, so that earlier samples no longer count.
 *
 * @param timeOfDayMillis the wall clock at [nowMillis], which counts until other daemons are heard
 */
public class TrueTimeEstimate(
    timeOfDayMillis: Long,
    nowMillis: Long,
) {
    private var offsetMillis = timeOfDayMillis - nowMillis
    private var ownOffsetMillis = offsetMillis
    private var unsettledFromMillis = nowMillis
    private var isEstablished = false
    private var isLeading = false
    private val clocks = HashMap<String, Sample>()
    private val estimates = HashMap<String, Sample>()

    /** The estimated true time at [nowMillis], in Unix milliseconds. */
    public fun trueTimeMillis(nowMillis: Long): Long = nowMillis + offsetMillis

    /**
     * The estimate to tell other daemons; null while it rests on this daemon's own clock alone, and where this daemon
     * does not lead: daemons that adopted one another's estimates would confirm a wrong one for ever.
     */
    public fun announcedMillis(nowMillis: Long): Long? =
        if (isEstablished && isLeading) trueTimeMillis(nowMillis) else null

    /** Records the wall clock that [daemon] has sent. */
    public fun recordTimeOfDay(daemon: String, timeOfDayMillis: Long, nowMillis: Long) {
        clocks[daemon] = Sample(offsetMillis = timeOfDayMillis - nowMillis, atMillis = nowMillis)
    }

    /** Records the estimate that [daemon] replied to a request sent at [sentAtMillis]. */
    public fun recordEstimate(daemon: String, trueTimeMillis: Long, sentAtMillis: Long, nowMillis: Long) {
        val middleMillis = sentAtMillis + (nowMillis - sentAtMillis) / 2
        estimates[daemon] = Sample(offsetMillis = trueTimeMillis - middleMillis, atMillis = nowMillis)
    }

    /** Renews the estimate; [leads] tells whether this daemon is one of those that estimate for all. */
    public fun update(timeOfDayMillis: Long, nowMillis: Long, leads: Boolean) {
        isLeading = leads
        val ownMillis = timeOfDayMillis - nowMillis
        if (abs(ownMillis - ownOffsetMillis) > JUMP_MILLIS) {
            clocks.clear()
            estimates.clear()
            unsettledFromMillis = nowMillis
        }
        val hasHeardAll = nowMillis - unsettledFromMillis >= SAMPLE_MILLIS
        ownOffsetMillis = ownMillis
        listOf(clocks, estimates).forEach { samples ->
            samples.values.removeIf { nowMillis - it.atMillis >= SAMPLE_MILLIS }
        }
        val newMillis =
            if (leads && hasHeardAll) median(clocks.values.map { it.offsetMillis } + ownMillis) else adopted()
        newMillis?.let { offsetMillis = it }
        isEstablished = newMillis != null || (isEstablished && (hasHeardAll || !leads))
    }

    private fun median(offsets: List<Long>): Long? {
        val sorted = offsets.sorted()
        val lower = sorted[(sorted.size - 1) / 2]
        return if (sorted.size < MINIMUM_CLOCKS) null else lower + (sorted[sorted.size / 2] - lower) / 2
    }

    /**
     * The only estimate received, or the median of several and this daemon's own: a leader that was suspended gives a
     * wrong one for a moment, and the other leader and this daemon then agree against it.
     */
    private fun adopted(): Long? {
        val received = estimates.values.map { it.offsetMillis }
        val known = if (received.size > 1 && isEstablished) received + offsetMillis else received
        return known.sorted().getOrNull((known.size - 1) / 2)
    }

    private class Sample(
        val offsetMillis: Long,
        val atMillis: Long,
    )
}

/** The median of fewer clocks does not outvote one that is wrong. */
private const val MINIMUM_CLOCKS = 3

/**
 * The liveness time of daemons: four syncs, of which one may be lost. A leader that has collected samples for a shorter
 * time may have heard few daemons beside those whose clocks are wrong.
 */
private const val SAMPLE_MILLIS = 1_600L

/** Above the adjustments of a disciplined clock; a shorter suspension moves counts by less than a tenth of a window. */
private const val JUMP_MILLIS = 400L
