package org.bulrushtack.core.scaling

/**
 * What one daemon reports about the demand for one service.
 *
 * @property shortRequests the requests with a short prefill that have arrived since its start
 * @property longRequests the requests with a long prefill that have arrived since its start
 * @property work the engine milliseconds of these requests
 * @property waitingMillis the engine milliseconds that wait for a placement now
 */
public data class DemandTotals(
    val shortRequests: Long,
    val longRequests: Long,
    val work: EngineWork,
    val waitingMillis: Double,
) {
    /** Whether all figures are numbers that a daemon can have counted. */
    val isValid: Boolean
        get() = shortRequests >= 0 &&
            longRequests >= 0 &&
            listOf(work.short, work.long, waitingMillis).all { it.isFinite() && it >= 0 }
}
