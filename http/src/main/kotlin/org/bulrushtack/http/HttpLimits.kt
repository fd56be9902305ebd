package org.bulrushtack.http

/**
 * What a server takes from a client.
 *
 * @property bodyBytes the largest body
 * @property headerBytes the largest request line, and the largest sum of all headers
 * @property requestMillis the longest time from the first byte of a request to its last
 * @property idleMillis the longest time between requests of one connection
 */
public data class HttpLimits(
    val bodyBytes: Int = 8 * 1024 * 1024,
    val headerBytes: Int = 16 * 1024,
    val requestMillis: Long = 30_000,
    val idleMillis: Long = 120_000,
)
