package org.bulrushtack.forward

import io.netty.channel.EventLoop
import org.bulrushtack.core.control.MonotonicClock
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** The one thread that a forwarding daemon runs on, and its clock. */
internal class ForwardThread(
    val loop: EventLoop,
    private val clock: MonotonicClock,
) {
    /** The steady time. */
    fun nowMillis(): Long = clock.nowMillis()

    /** Runs [action] after [millis]. */
    fun after(millis: Long, action: () -> Unit): ScheduledFuture<*> =
        loop.schedule(action, millis, TimeUnit.MILLISECONDS)
}
