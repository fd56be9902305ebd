package org.bulrushtack.http

/**
 * The limits that a server sets for its clients.
 *
 * @property bodyBytes the largest body
 * @property headerBytes the largest request line, and the largest sum of all headers
 * @property requestMillis the longest time from the first byte of a request to its last byte
 * @property idleMillis the longest time between two requests on one connection
 * @property memory the memory that the bodies of all connections share
 */
public data class HttpLimits(
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val requestMillis: Long = 30_000,
    val idleMillis: Long = 120_000,
    val memory: BodyMemory = BodyMemory(),
)

private const val DEFAULT_BODY_BYTES = 8_388_608
private const val DEFAULT_HEADER_BYTES = 16_384
