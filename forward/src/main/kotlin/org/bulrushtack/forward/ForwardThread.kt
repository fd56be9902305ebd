package org.bulrushtack.forward

import io.netty.channel.EventLoop
import org.bulrushtack.core.control.MonotonicClock
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** The event loop on whose single thread a forwarding daemon runs, with its monotonic clock. */
internal class ForwardThread(
    val loop: EventLoop,
    private val clock: MonotonicClock,
) {
    /** The current time of the monotonic clock. */
    fun nowMillis(): Long = clock.nowMillis()

    /** Runs [action] on the event loop after [millis]. */
    fun schedule(millis: Long, action: () -> Unit): ScheduledFuture<*> =
        loop.schedule(action, millis, TimeUnit.MILLISECONDS)
}
