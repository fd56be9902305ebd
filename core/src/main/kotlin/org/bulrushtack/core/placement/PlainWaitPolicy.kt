package org.bulrushtack.core.placement

import kotlin.random.Random

/** Decides how long a call waits that servers have turned away because their slots were taken. */
public class PlainWaitPolicy(
    private val random: Random,
) {
    /**
     * The wait before the next send, 0 for none. Only the last send is worth a wait: before it another server may have
     * room. The wait ends by half of the [objectiveMillis], so that the call can still be in time.
     *
     * @param isTurnedAway whether every server that could be asked has just turned a call away
     * @param isLastSend whether the call may be sent only once more
     * @param ageMillis the time since the call arrived
     */
    public fun waitMillis(isTurnedAway: Boolean, isLastSend: Boolean, ageMillis: Long, objectiveMillis: Long): Long {
        val drawnMillis = MINIMUM_WAIT_MILLIS + random.nextLong(WAIT_SPREAD_MILLIS)
        val leftMillis = objectiveMillis / 2 - ageMillis
        return if (isTurnedAway && isLastSend) minOf(drawnMillis, leftMillis).coerceAtLeast(0) else 0
    }
}

/** About the time of one call, after which a full server has taken other calls or has room. */
private const val MINIMUM_WAIT_MILLIS = 25L
private const val WAIT_SPREAD_MILLIS = 40L
