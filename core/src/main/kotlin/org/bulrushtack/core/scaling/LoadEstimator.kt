package org.bulrushtack.core.scaling

/** Estimates the rate at which work arrives. */
public interface LoadEstimator {
    /** Adds [work], in engine milliseconds, that is known to have arrived by [nowMillis]. */
    public fun add(work: EngineWork, nowMillis: Long)

    /** The rate of arriving work in engines, that is engine milliseconds for each millisecond. */
    public fun load(nowMillis: Long): EngineWork
}
