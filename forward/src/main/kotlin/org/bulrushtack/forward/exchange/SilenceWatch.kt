package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.ForwardThread
import java.util.concurrent.ScheduledFuture

/** Sees that something expected has not come in time. One timer serves all expectations, which mostly are met. */
internal class SilenceWatch(
    private val thread: ForwardThread,
) {
    private var timer: ScheduledFuture<*>? = null
    private var dueAtMillis = Long.MAX_VALUE
    private var onSilence: () -> Unit = {}

    /** Calls [onSilence] unless another expectation replaces this one within [millis], or it is stopped. */
    fun expectWithin(millis: Long, onSilence: () -> Unit) {
        this.onSilence = onSilence
        val due = thread.nowMillis() + millis
        val earlier = due < dueAtMillis
        dueAtMillis = due
        if (timer == null || earlier) schedule(millis)
    }

    /** Expects nothing more. */
    fun stop() {
        timer?.cancel(false)
        timer = null
        dueAtMillis = Long.MAX_VALUE
    }

    private fun schedule(millis: Long) {
        timer?.cancel(false)
        timer = thread.schedule(millis) { look() }
    }

    private fun look() {
        val leftMillis = dueAtMillis - thread.nowMillis()
        when {
            dueAtMillis == Long.MAX_VALUE -> Unit
            leftMillis > 0 -> schedule(leftMillis)
            else -> {
                stop()
                onSilence()
            }
        }
    }
}
