package org.bulrushtack.core.membership

/**
 * What an owner says of one of its backend servers.
 *
 * @property queuedWorkMillis expected work that waits, in milliseconds of the engine's time
 */
public data class ServerLoad(
    val server: String,
    val freeTokens: Long,
    val capacityTokens: Long,
    val queuedWorkMillis: Long,
    val running: Int,
)
