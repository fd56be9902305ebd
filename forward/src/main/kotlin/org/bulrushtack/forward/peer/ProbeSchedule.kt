package org.bulrushtack.forward.peer

/** Schedules the next attempt at an address that didn't respond, with exponential backoff and without giving up. */
internal class ProbeSchedule {
    private val failures = HashMap<String, Failures>()

    /** Whether an attempt at [address] is due at [nowMillis]. */
    fun isDue(address: String, nowMillis: Long): Boolean = (failures[address]?.nextAtMillis ?: 0) <= nowMillis

    /** Resets the backoff of [address]. */
    fun recordSuccess(address: String) {
        failures.remove(address)
    }

    /** Schedules the next attempt after a failure; returns true for the first failure in a row. */
    fun recordFailure(address: String, nowMillis: Long): Boolean {
        val count = (failures[address]?.count ?: 0) + 1
        val delayMillis = minOf(MAXIMUM_DELAY_MILLIS, INITIAL_DELAY_MILLIS shl minOf(count - 1, MAXIMUM_DOUBLINGS))
        failures[address] = Failures(count = count, nextAtMillis = nowMillis + delayMillis)
        return count == 1
    }

    private data class Failures(
        val count: Int,
        val nextAtMillis: Long,
    )
}

/** A daemon that starts slightly later is found quickly; one that is gone costs an attempt every few seconds. */
private const val INITIAL_DELAY_MILLIS = 300L
private const val MAXIMUM_DELAY_MILLIS = 4_000L
private const val MAXIMUM_DOUBLINGS = 4
