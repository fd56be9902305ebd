package org.bulrushtack.core.exchange

import org.bulrushtack.core.route.Route

/**
 * How long a request waits at each stage, in milliseconds.
 *
 * @property placeMillis the longest wait for a place on a backend server
 * @property firstEventMillis the longest wait for the first event of a stream before another server is tried
 * @property pauseMillis the longest wait for the next event before another server is tried
 */
public data class StreamTimeouts(
    val placeMillis: Long,
    val firstEventMillis: Long,
    val pauseMillis: Long,
) {
    public companion object {
        /** The patience for a request of [route] whose answer is final after [finalMillis]. */
        public fun of(route: Route, finalMillis: Long): StreamTimeouts {
            val pause = route.pauseMillis ?: 0
            val callerLeavesMillis = minOf(
                finalMillis,
                maxOf(SHORTEST_GAP_MILLIS, route.objectiveMillis * OBJECTIVES, pause * PAUSES),
            )
            return StreamTimeouts(
                placeMillis = callerLeavesMillis / 2,
                firstEventMillis = maxOf(callerLeavesMillis / 2, callerLeavesMillis - SECOND_TRY_MILLIS),
                pauseMillis = maxOf(SHORTEST_STALL_MILLIS, pause * STALL_PAUSES),
            )
        }
    }
}

/** When callers leave a stream that is silent: the longest of 2 s, 4 objectives and 8 pauses. */
private const val SHORTEST_GAP_MILLIS = 2_000L
private const val OBJECTIVES = 4
private const val PAUSES = 8

/** What a second server needs for the first event of a long prompt; less would leave a first one that only is late. */
private const val SECOND_TRY_MILLIS = 3_000L

/** A stall is seen before the caller leaves, and not for a pass that is only late. */
private const val SHORTEST_STALL_MILLIS = 800L
private const val STALL_PAUSES = 3
