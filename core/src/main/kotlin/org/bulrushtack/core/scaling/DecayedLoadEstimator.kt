package org.bulrushtack.core.scaling

import kotlin.math.exp

/**
 * Weights work by its age: that of [timeConstantMillis] ago counts 1/e of that of now. The weights of the time before
 * [startedAtMillis], in which nothing was seen, are left out of the mean.
 */
public class DecayedLoadEstimator(
    private val timeConstantMillis: Double,
    private val startedAtMillis: Long,
) : LoadEstimator {
    private var sum = EngineWork.NONE
    private var updatedAtMillis = startedAtMillis

    override fun add(work: EngineWork, nowMillis: Long) {
        sum = sum * decay(nowMillis - updatedAtMillis) + work
        updatedAtMillis = nowMillis
    }

    override fun load(nowMillis: Long): EngineWork {
        val seen = timeConstantMillis * (1 - decay(nowMillis - startedAtMillis))
        return if (seen > 0) sum * (decay(nowMillis - updatedAtMillis) / seen) else EngineWork.NONE
    }

    private fun decay(millis: Long): Double = exp(-millis / timeConstantMillis)
}
