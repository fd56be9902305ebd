package org.bulrushtack.core.admission

import kotlin.math.exp

/** The engine time of the requests that arrive in a millisecond, by priority, as a decayed mean. */
internal class ArrivalRates {
    private val rates = DoubleArray(LAST_PRIORITY + 1)
    private var updatedAtMillis = 0L

    fun record(priority: Int, workMillis: Double, nowMillis: Long) {
        decay(nowMillis)
        rates[priority] += minOf(workMillis, MAXIMUM_WORK_MILLIS) / TIME_CONSTANT_MILLIS
    }

    /** The engines that requests more urgent than [priority] keep busy. */
    fun enginesBefore(priority: Int, nowMillis: Long): Double {
        decay(nowMillis)
        return rates.take(priority).sum()
    }

    /** The engines that all requests keep busy. */
    fun engines(nowMillis: Long): Double = enginesBefore(rates.size, nowMillis)

    private fun decay(nowMillis: Long) {
        val elapsedMillis = maxOf(0, nowMillis - updatedAtMillis)
        if (elapsedMillis == 0L) return
        val factor = exp(-elapsedMillis / TIME_CONSTANT_MILLIS)
        rates.indices.forEach { rates[it] *= factor }
        updatedAtMillis = nowMillis
    }
}

/** The mix of requests may turn within a second, and an average over less follows single long prompts. */
private const val TIME_CONSTANT_MILLIS = 1_000.0

/** About a long prompt of the usual size. One of the largest, which takes 20 s, must not look like a rate. */
private const val MAXIMUM_WORK_MILLIS = 4_000.0
