package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.ForwardThread
import java.util.concurrent.ScheduledFuture

/**
 * Calls [onTimeout] shortly before a deadline, so that the final response arrives in time. A response that has started
 * can only be broken off, which takes none of the caller's time and therefore comes at the deadline itself.
 */
internal class DeadlineTimer(
    private val thread: ForwardThread,
    private val hasStarted: () -> Boolean,
    private val onTimeout: () -> Unit,
) {
    private var timer: ScheduledFuture<*>? = null

    /** Starts the timer for the deadline at [deadlineAtMillis]. */
    fun start(deadlineAtMillis: Long) {
        val leftMillis = maxOf(0, deadlineAtMillis - thread.nowMillis())
        val marginMillis = minOf(RESPONSE_MARGIN_MILLIS, leftMillis / RESPONSE_MARGIN_DIVISOR)
        schedule(deadlineAtMillis - marginMillis) {
            if (hasStarted()) schedule(deadlineAtMillis + CLOCK_STEP_MILLIS, onTimeout) else onTimeout()
        }
    }

    /** Stops the timer. */
    fun stop() {
        timer?.cancel(false)
    }

    private fun schedule(atMillis: Long, action: () -> Unit) {
        timer = thread.schedule(maxOf(0, atMillis - thread.nowMillis()), action)
    }
}

/** The time that the final response needs to reach the caller. */
private const val RESPONSE_MARGIN_MILLIS = 20L

/** A caller's last try may have 25 ms left; the margin takes at most a quarter of the time. */
private const val RESPONSE_MARGIN_DIVISOR = 4

/** The clock rounds down, so that a deadline may be this much early. */
private const val CLOCK_STEP_MILLIS = 1L
