package org.bulrushtack.core.route

/** Limits on the size of callers' requests, on the time to send their headers and on idle connections. */
public data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Long = 4_194_304,
    val headerMillis: Long = 3_000,
    val idleMillis: Long = 15_000,
)
