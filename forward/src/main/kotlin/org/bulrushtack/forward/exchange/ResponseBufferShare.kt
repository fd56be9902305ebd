package org.bulrushtack.forward.exchange

/** Shares the memory for responses that are held back until they are complete among the requests in flight. */
internal object ResponseBufferShare {
    /** The bytes that the response to each of [activeRequests] may hold back, in a heap of [heapBytes]. */
    fun bytes(activeRequests: Int, heapBytes: Long = Long.MAX_VALUE): Int {
        val totalBytes = minOf(TOTAL_BYTES, heapBytes / HEAP_DIVISOR)
        return (totalBytes / maxOf(1, activeRequests)).toInt().coerceIn(MINIMUM_BYTES, MAXIMUM_BYTES)
    }
}

/** A fifth of the heap of a daemon on the smallest VM. */
private const val TOTAL_BYTES = 33_554_432L
private const val HEAP_DIVISOR = 5

/** A usual response of a plain service, several times over. */
private const val MINIMUM_BYTES = 4_096

/** About a hundred times a usual response of a plain service. */
private const val MAXIMUM_BYTES = 65_536
