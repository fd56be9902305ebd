package org.bulrushtack.standin.engine

/**
 * How an engine behaves.
 *
 * @property memoryTokens its memory; it falls over when what it holds outgrows it
 * @property coldMillis how long it is cold after a start
 * @property coldConcurrency how many requests it bears while it is cold; with more it falls over
 * @property checksFencing whether it refuses orders with a lower fencing number than it has seen
 * @property reportLagMillis how old its load report is
 * @property eventLagMillis how late its cache events are
 * @property stepMillis the time of one step of its batch
 * @property instant whether it answers at once and whole, to measure what stands before it
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
