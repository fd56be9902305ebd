package org.bulrushtack.forward.peer

/** When addresses that gave no answer are tried again: ever less often, but never given up. */
internal class ProbeSchedule {
    private val failures = HashMap<String, Failures>()

    /** Whether [address] is to be tried at [nowMillis]. */
    fun isDue(address: String, nowMillis: Long): Boolean = (failures[address]?.nextAtMillis ?: 0) <= nowMillis

    /** Notes an answer. */
    fun answered(address: String) {
        failures.remove(address)
    }

    /** Notes that no answer came; gives true for the first time in a row. */
    fun failed(address: String, nowMillis: Long): Boolean {
        val count = (failures[address]?.count ?: 0) + 1
        val pauseMillis = minOf(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS shl minOf(count - 1, MAXIMUM_DOUBLINGS))
        failures[address] = Failures(count = count, nextAtMillis = nowMillis + pauseMillis)
        return count == 1
    }

    private data class Failures(
        val count: Int,
        val nextAtMillis: Long,
    )
}

/** A daemon that starts a little later is found at once; one that is gone costs a try every few seconds. */
private const val FIRST_PAUSE_MILLIS = 300L
private const val LONGEST_PAUSE_MILLIS = 4_000L
private const val MAXIMUM_DOUBLINGS = 4
