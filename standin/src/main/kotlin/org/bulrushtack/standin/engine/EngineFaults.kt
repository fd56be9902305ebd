package org.bulrushtack.standin.engine

/**
 * The faults of an engine that are switched on.
 *
 * @property silent whether it takes requests and emits nothing, without closing
 * @property trickle whether it emits one token a minute
 * @property loseCancels whether it ignores cancels
 * @property leaving whether it says that it is leaving
 */
data class EngineFaults(
    val silent: Boolean = false,
    val trickle: Boolean = false,
    val loseCancels: Boolean = false,
    val leaving: Boolean = false,
)
