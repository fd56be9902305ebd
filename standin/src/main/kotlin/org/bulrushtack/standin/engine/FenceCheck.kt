package org.bulrushtack.standin.engine

import org.bulrushtack.http.HttpMessageRequest
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Remembers the highest fencing number of all orders; refuses lower ones where [checks] says so. */
internal class FenceCheck(
    private val checks: Boolean,
) {
    private val highest = AtomicLong(0)
    private val stale = AtomicInteger(0)

    /** How many orders were refused. */
    val refusals: Int get() = stale.get()

    /** Whether [request] bears a number that is too old. */
    fun isStale(request: HttpMessageRequest): Boolean {
        val fence = request.headers.find("x-fencing-number")?.toLongOrNull() ?: 0
        val known = highest.accumulateAndGet(fence) { first, second -> maxOf(first, second) }
        val refused = checks && fence < known
        if (refused) stale.incrementAndGet()
        return refused
    }
}
