package org.bulrushtack.core.exchange

import org.bulrushtack.core.route.Route

/**
 * The timeouts of a request at each stage, in milliseconds.
 *
 * @property placementMillis the longest wait for a placement on a backend server
 * @property firstEventMillis the longest wait for the first event of a stream before another server is tried
 * @property eventGapMillis the longest wait for the next event before another server is tried
 */
public data class StreamTimeouts(
    val placementMillis: Long,
    val firstEventMillis: Long,
    val eventGapMillis: Long,
) {
    public companion object {
        /** The timeouts for a request of [route] whose deadline is in [finalMillis]. */
        public fun forRoute(route: Route, finalMillis: Long): StreamTimeouts {
            val gapMillis = route.tokenGapMillis ?: 0
            val callerLeavesMillis = minOf(
                finalMillis,
                maxOf(MINIMUM_CALLER_WAIT_MILLIS, route.objectiveMillis * OBJECTIVES, gapMillis * CALLER_WAIT_GAPS),
            )
            return StreamTimeouts(
                placementMillis = callerLeavesMillis / 2,
                firstEventMillis = maxOf(callerLeavesMillis / 2, callerLeavesMillis - SECOND_ATTEMPT_MILLIS),
                eventGapMillis = maxOf(MINIMUM_STALL_MILLIS, gapMillis * STALL_GAPS),
            )
        }
    }
}

/** Callers abandon a stream without events after the longest of 2 s, 4 objectives and 8 token gaps. */
private const val MINIMUM_CALLER_WAIT_MILLIS = 2_000L
private const val OBJECTIVES = 4
private const val CALLER_WAIT_GAPS = 8

/** What a second server needs for the first event of a long prompt; less would abandon servers that are only slow. */
private const val SECOND_ATTEMPT_MILLIS = 3_000L

/** Detects a stall before the caller disconnects, without reporting a pass that only takes longer. */
private const val MINIMUM_STALL_MILLIS = 800L
private const val STALL_GAPS = 3
