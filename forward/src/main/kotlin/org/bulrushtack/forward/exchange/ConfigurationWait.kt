package org.bulrushtack.forward.exchange

import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.http.HttpExchange
import java.util.concurrent.ScheduledFuture

/**
 * Holds the requests that arrive before the first configuration, or that an outdated one doesn't allow. A refused
 * caller spends one of its few tries on a daemon that may know more some 100 ms later.
 *
 * @param basis what decides requests at present; a request is decided anew as soon as this changes
 */
internal class ConfigurationWait(
    private val thread: ForwardThread,
    private val basis: () -> AdmissionBasis,
) {
    private val held = ArrayList<HeldRequest>()
    private var timer: ScheduledFuture<*>? = null

    /** The number of requests that are held. */
    val size: Int get() = held.size

    /**
     * Holds the request of [exchange], which had [deadlineMillis] left at [receivedAtMillis], for a small share of that
     * time and calls [onEnd] then, or as soon as it can be decided anew. Returns false if it is not held.
     */
    fun hold(exchange: HttpExchange, deadlineMillis: Long?, receivedAtMillis: Long, onEnd: () -> Unit): Boolean {
        val holdMillis = minOf(MAXIMUM_HOLD_MILLIS, (deadlineMillis ?: 0) / DEADLINE_DIVISOR)
        val endsAtMillis = receivedAtMillis + holdMillis
        val isHeld = endsAtMillis - thread.nowMillis() >= CHECK_INTERVAL_MILLIS && held.size < MAXIMUM_HELD
        if (isHeld) {
            val request = HeldRequest(endsAtMillis = endsAtMillis, basis = basis(), onEnd = onEnd)
            held.add(request)
            exchange.onClosed { held.remove(request) }
            schedule()
        }
        return isHeld
    }

    private fun schedule() {
        if (timer != null || held.isEmpty()) return
        timer = thread.schedule(CHECK_INTERVAL_MILLIS) {
            timer = null
            release()
            schedule()
        }
    }

    private fun release() {
        val nowMillis = thread.nowMillis()
        val current = basis()
        val released = held.filter { nowMillis >= it.endsAtMillis || it.basis != current }
        held.removeAll(released.toSet())
        thread.forEach(released) { it.onEnd() }
    }

    private class HeldRequest(
        val endsAtMillis: Long,
        val basis: AdmissionBasis,
        val onEnd: () -> Unit,
    )
}

/** A refusal costs a caller nothing for as long as it comes within an eighth of its time. */
private const val DEADLINE_DIVISOR = 8

/** A daemon that can't read the store for longer has no answer soon either. */
private const val MAXIMUM_HOLD_MILLIS = 1_000L
private const val CHECK_INTERVAL_MILLIS = 20L

/** Bounds what a crowd of callers may make a daemon hold. */
private const val MAXIMUM_HELD = 256
