package org.bulrushtack.standin.engine

/**
 * The simulated behaviour of an engine.
 *
 * @property memoryTokens its memory; it crashes when its requests hold more
 * @property coldMillis duration of the cold start
 * @property coldConcurrency how many requests it can hold while it is cold; it crashes when it holds more
 * @property checksFencing whether it rejects orders with a fencing number lower than the highest seen
 * @property reportLagMillis delay of its load reports
 * @property eventLagMillis delay of its cache events
 * @property stepMillis duration of one step of its batch
 * @property instant whether it sends complete answers immediately, to measure the layer in front of it
 */
data class EngineOptions(
    val model: String = "atlas",
    val memoryTokens: Long = 500_000,
    val coldMillis: Long = 2_000,
    val coldConcurrency: Int = 2,
    val prefillTokensPerSecond: Long = 40_000,
    val decodeTokensPerSecond: Long = 200,
    val checksFencing: Boolean = false,
    val reportLagMillis: Long = 1_000,
    val eventLagMillis: Long = 1_500,
    val cacheTokens: Long = 100_000,
    val stepMillis: Long = 10,
    val instant: Boolean = false,
)
