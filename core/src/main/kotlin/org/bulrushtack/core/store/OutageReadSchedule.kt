package org.bulrushtack.core.store

import org.bulrushtack.core.request.Backoff
import kotlin.random.Random

/**
 * Decides when this daemon tries to read the store although nobody has read it for a while. All live daemons together
 * make one try in each interval, whatever their number: the time since the last successful read, which they learn from
 * one another, is divided into intervals, and each interval is one daemon's turn. A daemon that can't read the store
 * also tries on its own, after waits that grow with its failures and with the number of such daemons.
 *
 * @param turn the turn of this daemon at present
 */
public class OutageReadSchedule(
    private val turn: () -> ReadTurn,
    private val random: Random,
) {
    private val backoff = Backoff(
        random = random,
        firstMillis = FIRST_WAIT_MILLIS,
        maximumMillis = MAXIMUM_WAIT_MILLIS,
    )
    private var failedAtMillis = NEVER_MILLIS
    private var waitsFromMillis = NEVER_MILLIS
    private var waitMillis = 0L
    private var triedAtMillis = NEVER_MILLIS

    /** The failed tries of this daemon since its last successful read. */
    public var failures: Int = 0
        private set

    /** Records that a read of this daemon succeeded. */
    public fun recordSuccess() {
        failures = 0
    }

    /**
     * Records at [nowMillis] that a read failed; reads that were sent together count as one try. All daemons that fail,
     * of which there are [failing], together make about as many tries as one alone, but each makes one in 15 s or more
     * often.
     */
    public fun recordFailure(sentAtMillis: Long, nowMillis: Long, failing: Int) {
        if (sentAtMillis <= failedAtMillis) return
        failures += 1
        failedAtMillis = nowMillis
        waitsFromMillis = nowMillis
        val sharedMillis = failing * backoff.delayMillis(failures + failing - 1)
        waitMillis = minOf(sharedMillis, LONGEST_SHARED_MILLIS - random.nextLong(SPREAD_MILLIS))
    }

    /**
     * Whether this daemon tries at [nowMillis]; records the try if so.
     *
     * @param overdueMillis how long ago the replica of a topic should have been refreshed; negative if it is not due
     * @param isReader whether this daemon reads for all
     */
    public fun shouldTry(overdueMillis: Long, isReader: Boolean, nowMillis: Long): Boolean {
        // Daemons that have waited during an outage of the store would all try at its end.
        if (overdueMillis >= 0 && !isReader) waitsFromMillis = nowMillis
        val isTurn = overdueMillis >= 0 && nowMillis - triedAtMillis >= INTERVAL_MILLIS && isTurn(overdueMillis)
        val isRetry = failures > 0 && nowMillis - waitsFromMillis >= waitMillis
        val tries = isTurn || isRetry
        if (tries) triedAtMillis = nowMillis
        return tries
    }

    /**
     * The time from one read to the next of a daemon that goes on reading each [intervalMillis]. It varies, as two
     * daemons that read at the same pace might never see that the other one reads as well.
     */
    public fun continuationMillis(intervalMillis: Long): Long = intervalMillis + random.nextLong(JITTER_MILLIS)

    /** The daemon that reads for all is the first in order and has just failed, so that the second begins. */
    private fun isTurn(overdueMillis: Long): Boolean {
        val (index, count) = turn()
        return (overdueMillis / INTERVAL_MILLIS + 1) % count == index.toLong()
    }
}

/**
 * One try of all daemons in this time finds the store's return soon enough to pass on a change within 2 s, also if the
 * first daemon whose turn it is can't read the store either.
 */
private const val INTERVAL_MILLIS = 250L

/** The waits of a daemon that alone can't read the store. */
private const val FIRST_WAIT_MILLIS = 500L
private const val MAXIMUM_WAIT_MILLIS = 4_000L

/** After an outage many daemons learn that they can read the store within this time, but not all at once. */
private const val LONGEST_SHARED_MILLIS = 15_000L
private const val SPREAD_MILLIS = 10_000L
private const val JITTER_MILLIS = 200L
private const val NEVER_MILLIS = Long.MIN_VALUE / 2
