package org.bulrushtack.core.route

/** A service and its [weight] among the services of a route. */
public data class WeightedService(
    val service: String,
    val weight: Int,
)
