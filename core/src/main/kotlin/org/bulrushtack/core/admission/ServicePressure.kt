package org.bulrushtack.core.admission

/**
 * The work of a service's engines against what they can do.
 *
 * @property placedMillis the engine time of placed work that is not done yet
 * @property waitingMillis the engine time of work that waits for a placement, by priority from 0
 * @property usableEngines the engines that may receive requests
 * @property ageMillis the time since it was measured
 * @property source the daemon that measured it
 */
public data class ServicePressure(
    val service: String,
    val placedMillis: Double,
    val waitingMillis: List<Double>,
    val usableEngines: Int,
    val ageMillis: Long,
    val source: String,
) {
    /** The work against what the usable engines do in a second; above 1, requests with short objectives wait. */
    val value: Double get() = through(waitingMillis.size - 1)

    /** As [value], without the waiting work that is less urgent than [priority]. */
    public fun through(priority: Int): Double =
        (placedMillis + waitingMillis.take(priority + 1).sum()) / (maxOf(1, usableEngines) * HORIZON_MILLIS)
}

/** Half of the time for which callers wait for the first event of a short response. */
private const val HORIZON_MILLIS = 1_000.0
