package org.bulrushtack.daemon.control

import org.bulrushtack.core.control.Action
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.ControlLoop
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.lifecycle.DaemonThreadFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/** Runs the control loop on a single thread. */
class ControlThread(
    private val blackboard: Blackboard,
    private val loop: ControlLoop,
    private val clock: MonotonicClock,
) {
    private val log = ComponentLog(component = "control")
    private val executor = Executors.newSingleThreadScheduledExecutor(DaemonThreadFactory(name = "control"))

    /** Receives the actions that the controllers request; called on the control thread. */
    var onAction: (Action) -> Unit = {}

    /** A snapshot of the state for other threads, replaced after each tick, log read and drain request. */
    @Volatile
    var snapshot: BlackboardSnapshot = BlackboardSnapshot.of(blackboard = blackboard, nowMillis = clock.nowMillis())
        private set

    /** Starts the periodic ticks. */
    fun start() {
        executor.scheduleWithFixedDelay({ run(Event.Tick) }, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Stops the thread and drops the events that are still queued. */
    fun stop() {
        executor.shutdownNow()
    }

    /** Queues [event] for the control loop; may be called from any thread. */
    fun post(event: Event) = submit { run(event) }

    /** Reads the blackboard on the control thread; the result fails with what [read] throws. */
    fun <T> query(read: (Blackboard, Long) -> T): CompletableFuture<T> {
        val result = CompletableFuture<T>()
        submit {
            runCatching { read(blackboard, clock.nowMillis()) }
                .fold(onSuccess = { result.complete(it) }, onFailure = { result.completeExceptionally(it) })
        }
        return result
    }

    private fun submit(task: () -> Unit) {
        try {
            executor.execute(task)
        } catch (exception: RejectedExecutionException) {
            log.debug { "An event was dropped because the control thread has stopped: ${exception.message}." }
        }
    }

    /** Handles [event]; an error in a controller is logged, since it must not end the ticks. */
    @Suppress("TooGenericExceptionCaught")
    private fun run(event: Event) {
        try {
            val nowMillis = clock.nowMillis()
            loop.handle(event = event, nowMillis = nowMillis).forEach { onAction(it) }
            if (event is Event.Tick || event is Event.RecordsRead || event is Event.DrainRequested) {
                snapshot = BlackboardSnapshot.of(blackboard = blackboard, nowMillis = nowMillis)
            }
        } catch (error: Throwable) {
            log.warn { "Handling an event failed: ${event::class.simpleName}: ${error.stackTraceToString()}" }
        }
    }
}

private const val TICK_INTERVAL_MILLIS = 50L
