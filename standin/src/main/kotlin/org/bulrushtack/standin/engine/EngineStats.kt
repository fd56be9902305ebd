package org.bulrushtack.standin.engine

/**
 * Counters of an engine for tests.
 *
 * @property starts how many requests were dispatched to it
 * @property maximumCold the maximum number of concurrent requests while it was cold
 * @property falls how often it crashed
 * @property staleOrders how many orders with an outdated fencing number it rejected
 */
data class EngineStats(
    val starts: Long = 0,
    val maximumCold: Int = 0,
    val maximumRunning: Int = 0,
    val maximumHeldTokens: Long = 0,
    val falls: Int = 0,
    val staleOrders: Int = 0,
    val lastStartAtMillis: Long = 0,
    val heldTokens: Long = 0,
    val running: Int = 0,
)
