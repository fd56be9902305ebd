package org.bulrushtack.standin.engine

/**
 * What happened to an engine, for tests to look at.
 *
 * @property starts how many requests were dispatched to it
 * @property maximumCold the most requests that it held at once while it was cold
 * @property falls how often it fell over
 * @property staleOrders how many orders with an old fencing number it refused
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
