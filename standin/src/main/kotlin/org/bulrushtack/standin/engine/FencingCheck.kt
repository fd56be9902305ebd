package org.bulrushtack.standin.engine

import org.bulrushtack.http.HttpMessageRequest
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Tracks the highest fencing number of all orders and rejects lower ones when [enabled]. */
internal class FencingCheck(
    private val enabled: Boolean,
) {
    private val highestSeen = AtomicLong(0)
    private val staleOrders = AtomicInteger(0)

    /** The number of rejected orders. */
    val rejections: Int get() = staleOrders.get()

    /** Whether [request] has an outdated fencing number and must be rejected. */
    fun isStale(request: HttpMessageRequest): Boolean {
        val fencingNumber = request.headers.find("x-fencing-number")?.toLongOrNull() ?: 0
        val currentHighest = highestSeen.accumulateAndGet(fencingNumber) { first, second -> maxOf(first, second) }
        val rejected = enabled && fencingNumber < currentHighest
        if (rejected) staleOrders.incrementAndGet()
        return rejected
    }
}
