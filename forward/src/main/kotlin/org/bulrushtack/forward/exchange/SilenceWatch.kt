package org.bulrushtack.forward.exchange

import io.netty.channel.EventLoop
import org.bulrushtack.core.control.MonotonicClock
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Sees that something expected has not come in time. One timer serves all expectations, which mostly are met. */
internal class SilenceWatch(
    private val loop: EventLoop,
    private val clock: MonotonicClock,
) {
    private var timer: ScheduledFuture<*>? = null
    private var dueAtMillis = Long.MAX_VALUE
    private var onSilence: () -> Unit = {}

    /** Calls [onSilence] unless another expectation replaces this one within [millis], or it is stopped. */
    fun expectWithin(millis: Long, onSilence: () -> Unit) {
        this.onSilence = onSilence
        val due = clock.nowMillis() + millis
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
        timer = loop.schedule({ look() }, millis, TimeUnit.MILLISECONDS)
    }

    private fun look() {
        val leftMillis = dueAtMillis - clock.nowMillis()
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
