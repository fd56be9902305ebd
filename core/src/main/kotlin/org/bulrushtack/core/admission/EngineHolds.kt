package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.PlacementConstraints

/** The engines that are kept for waiting requests, each with the rank of the first one that needs it. */
internal class EngineHolds {
    private val byServer = HashMap<String, AdmissionRank>()
    private var byValue = false

    /** The engines that are kept for some request. */
    val all: Set<String> get() = byServer.keys

    /** Removes all holds; [isShort] tells whether requests of the same priority are kept apart too. */
    fun reset(isShort: Boolean) {
        byServer.clear()
        byValue = isShort
    }

    /** Keeps [engines] for a request with [rank]. */
    fun add(engines: List<String>, rank: AdmissionRank) =
        engines.forEach { byServer.merge(it, rank) { first, second -> minOf(first, second) } }

    /** What a request with [rank] must leave to others, and what it should leave to others if it can. */
    fun constraints(rank: AdmissionRank, allowsLate: Boolean) = PlacementConstraints(
        heldEngines = byServer.filterValues { if (byValue) it < rank else it.priority < rank.priority }.keys,
        avoidedEngines = byServer.keys.toSet(),
        allowsLate = allowsLate,
    )
}
