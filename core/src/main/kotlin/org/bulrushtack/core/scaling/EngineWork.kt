package org.bulrushtack.core.scaling

/**
 * Work for engines, split by whether the prefill of its prompts is short or long: engine milliseconds, or engines where
 * it is a rate.
 */
public data class EngineWork(
    val short: Double,
    val long: Double,
) {
    /** The work of both kinds. */
    public val total: Double get() = short + long

    /** The sum of this and [other]. */
    public operator fun plus(other: EngineWork): EngineWork = EngineWork(short + other.short, long + other.long)

    /** This work, [factor] times. */
    public operator fun times(factor: Double): EngineWork = EngineWork(short * factor, long * factor)

    public companion object {
        /** No work. */
        public val NONE: EngineWork = EngineWork(short = 0.0, long = 0.0)
    }
}
