package org.bulrushtack.standin.engine

/**
 * The active injected faults of an engine.
 *
 * @property silent whether it accepts requests but emits nothing and leaves connections open
 * @property trickle whether it emits one token a minute
 * @property loseCancels whether it ignores cancels
 * @property leaving whether it reports that it is leaving (draining)
 */
data class EngineFaults(
    val silent: Boolean = false,
    val trickle: Boolean = false,
    val loseCancels: Boolean = false,
    val leaving: Boolean = false,
)
