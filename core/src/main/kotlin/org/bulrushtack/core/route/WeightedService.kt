package org.bulrushtack.core.route

/** A service that takes [weight] parts of a route's requests. */
public data class WeightedService(
    val service: String,
    val weight: Int,
)
