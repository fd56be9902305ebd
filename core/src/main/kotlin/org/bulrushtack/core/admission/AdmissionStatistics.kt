package org.bulrushtack.core.admission

import org.bulrushtack.core.placement.PlacementRequest
import kotlin.math.floor
import kotlin.math.log2

/** What is known of the requests for one service: its kinds, and how often each workspace has been served. */
internal class AdmissionStatistics {
    private val kinds = boundedMap<KindStatistics>()
    private val workspaces = boundedMap<ServedShare>()
    private val all = ServedShare()
    val arrivals = ArrivalRates()

    fun recordArrival(request: PlacementRequest, workMillis: Double, nowMillis: Long) {
        kinds.getOrPut(request.kind) { KindStatistics() }.recordArrival(request.shape.promptTokens, nowMillis)
        arrivals.record(request.priority, workMillis, nowMillis)
    }

    fun recordDecision(request: PlacementRequest, wasServed: Boolean) {
        kinds[request.kind]?.recordDecision(request.shape.promptTokens, wasServed)
        workspaces.getOrPut(request.workspace) { ServedShare() }.record(wasServed)
        all.record(wasServed)
    }

    fun rank(request: PlacementRequest, workMillis: Double, latestStartMillis: Long): AdmissionRank {
        val kind = kinds[request.kind] ?: KindStatistics()
        val tokens = request.shape.promptTokens
        val value = kind.worth(tokens) / kind.rate / maxOf(1.0, workMillis)
        val workspaceShare = workspaces[request.workspace]?.value ?: 1.0
        return AdmissionRank(
            priority = request.priority,
            neglected = kind.isNeglected(tokens) || workspaceShare < all.value * MINIMUM_WORKSPACE_SHARE,
            value = floor(log2(value)).toInt(),
            latestStartMillis = latestStartMillis,
        )
    }

    /** The names come from peers' messages, so the number that is kept is bounded; the least recently used goes. */
    private fun <V> boundedMap() = object : LinkedHashMap<String, V>(INITIAL_NAMES, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, V>?): Boolean = size > MAXIMUM_NAMES
    }
}

private const val INITIAL_NAMES = 16
private const val LOAD_FACTOR = 0.75f
private const val MAXIMUM_NAMES = 1_000

/** Each workspace has to be served a quarter as often as all; the rest is a margin. */
private const val MINIMUM_WORKSPACE_SHARE = 0.5
