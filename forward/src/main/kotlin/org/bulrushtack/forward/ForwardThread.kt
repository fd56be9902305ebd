package org.bulrushtack.forward

import io.netty.channel.EventLoop
import org.bulrushtack.core.control.MonotonicClock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * The event loop on whose single thread a forwarding daemon runs, with its monotonic clock. An unexpected error in one
 * action goes to [onError] and ends neither the thread nor the repetition of an action.
 */
internal class ForwardThread(
    val loop: EventLoop,
    private val clock: MonotonicClock,
    private val onError: (Throwable) -> Unit,
) {
    /** The current time of the monotonic clock. */
    fun nowMillis(): Long = clock.nowMillis()

    /** Runs [action] on the event loop. */
    fun execute(action: () -> Unit) = loop.execute { guard(action) }

    /** Runs [action] on the event loop after [millis]. */
    fun schedule(millis: Long, action: () -> Unit): ScheduledFuture<*> =
        loop.schedule({ guard(action) }, millis, TimeUnit.MILLISECONDS)

    /** Runs [action] on the event loop every [millis]. */
    fun repeat(millis: Long, action: () -> Unit) {
        loop.scheduleAtFixedRate({ guard(action) }, 0, millis, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] for each of [items] at once; an unexpected error for one doesn't keep the others from it. */
    fun <T> forEach(items: Iterable<T>, action: (T) -> Unit) = items.forEach { item -> guard { action(item) } }

    /** Passes the result or the failure of [future] to [action] on the event loop. */
    fun <T> whenDone(future: CompletableFuture<T>, action: (result: T?, failure: Throwable?) -> Unit) {
        future.whenCompleteAsync({ result, failure -> guard { action(result, failure) } }, loop)
    }

    /** Like [whenDone], but in the same turn of the event loop in which [future] is completed there. */
    fun <T> whenDoneInTurn(future: CompletableFuture<T>, action: (result: T?, failure: Throwable?) -> Unit) {
        future.whenComplete { result, failure ->
            runInTurn { action(result, failure) }
        }
    }

    /** Runs [action] at once if this is the event loop's thread, else soon on that thread. */
    fun runInTurn(action: () -> Unit) = if (loop.inEventLoop()) guard(action) else execute(action)

    /** Runs [action] now; an unexpected error in it doesn't end the caller. */
    fun guard(action: () -> Unit) {
        runCatching(action).onFailure(onError)
    }
}
