package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.ForwardThread
import java.util.concurrent.ScheduledFuture

/** Detects that an expected event did not arrive in time. Reuses one scheduled task, as most deadlines are met. */
internal class InactivityTimer(
    private val thread: ForwardThread,
) {
    private var timer: ScheduledFuture<*>? = null
    private var deadlineAtMillis = Long.MAX_VALUE
    private var onTimeout: () -> Unit = {}

    /** Calls [onTimeout] after [millis] unless the timer is restarted or stopped before. */
    fun restart(millis: Long, onTimeout: () -> Unit) {
        this.onTimeout = onTimeout
        val newDeadlineAtMillis = thread.nowMillis() + millis
        val isEarlier = newDeadlineAtMillis < deadlineAtMillis
        deadlineAtMillis = newDeadlineAtMillis
        if (timer == null || isEarlier) schedule(millis)
    }

    /** Stops the timer. */
    fun stop() {
        timer?.cancel(false)
        timer = null
        deadlineAtMillis = Long.MAX_VALUE
    }

    private fun schedule(millis: Long) {
        timer?.cancel(false)
        timer = thread.schedule(millis) { checkDeadline() }
    }

    private fun checkDeadline() {
        val leftMillis = deadlineAtMillis - thread.nowMillis()
        when {
            deadlineAtMillis == Long.MAX_VALUE -> Unit
            leftMillis > 0 -> schedule(leftMillis)
            else -> {
                stop()
                onTimeout()
            }
        }
    }
}
