package org.bulrushtack.core.route

/** What callers may send, and how long they may take for it or stay idle. */
public data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Long = 4_194_304,
    val headerMillis: Long = 3_000,
    val idleMillis: Long = 15_000,
)
