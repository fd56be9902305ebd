package org.bulrushtack.core.membership

/**
 * The load of a backend server, as reported by its owner.
 *
 * @property queuedWorkMillis the expected execution time of the queued work, in milliseconds of the engine's time
 */
public data class ServerLoad(
    val server: String,
    val freeTokens: Long,
    val capacityTokens: Long,
    val queuedWorkMillis: Long,
    val running: Int,
)
