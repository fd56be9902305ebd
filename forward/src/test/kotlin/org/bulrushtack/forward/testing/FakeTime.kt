package org.bulrushtack.forward.testing

import io.netty.channel.EventLoop
import io.netty.channel.embedded.EmbeddedChannel
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.forward.ForwardThread
import java.util.concurrent.TimeUnit

/** A network thread on a virtual clock. */
internal class FakeTime : MonotonicClock {
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private var now = 0L

    val thread = ForwardThread(loop = channel.eventLoop() as EventLoop, clock = this)

    override fun nowMillis(): Long = now

    /** Moves the clock by [millis] and runs what is due, millisecond by millisecond. */
    fun advance(millis: Long) = repeat(millis.toInt()) {
        now += 1
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS)
        channel.runPendingTasks()
        channel.runScheduledPendingTasks()
    }

    /** Runs what was handed to the thread. */
    fun settle() = channel.runPendingTasks()

    /** Nothing that was planned happens any more, as after a kill. */
    fun stop() = channel.close()
}
