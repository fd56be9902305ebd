package org.bulrushtack.standin.platform

/** Says how long a reading takes when all readings share one rate. */
internal class WeightStore(
    private val bytesPerSecond: Long,
) {
    private var busyUntilMillis = 0L

    /** Books a reading of [bytes] and gives the time until it has ended. */
    @Synchronized
    fun reserve(bytes: Long, nowMillis: Long): Long {
        val start = maxOf(nowMillis, busyUntilMillis)
        busyUntilMillis = start + bytes * MILLIS_PER_SECOND / bytesPerSecond
        return busyUntilMillis - nowMillis
    }
}

private const val MILLIS_PER_SECOND = 1_000L
