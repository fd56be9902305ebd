package org.bulrushtack.core.admission

/** How many of the last requests of a group were placed; older requests count less. */
internal class ServedShare {
    private var decided = 0.0
    private var served = 0.0

    fun record(wasServed: Boolean) {
        decided = decided * RETENTION + 1
        served = served * RETENTION + if (wasServed) 1 else 0
    }

    /** The share of served requests; 1 until enough are known. */
    val value: Double get() = if (decided < MINIMUM_DECIDED) 1.0 else served / decided
}

/** The last 100 requests or so count. */
private const val RETENTION = 0.99
private const val MINIMUM_DECIDED = 1.0
