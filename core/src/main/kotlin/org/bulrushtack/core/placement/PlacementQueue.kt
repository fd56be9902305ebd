package org.bulrushtack.core.placement

/**
 * The requests that wait for a placement: first those that can still meet their objective, by priority and latest start
 * time, then the others.
 */
internal class PlacementQueue {
    private val waiting = LinkedHashMap<String, Entry>()

    val size: Int get() = waiting.size

    fun add(request: PlacementRequest, serviceMillis: Double) {
        val latestStart = request.objectiveAtMillis - serviceMillis.toLong()
        waiting[request.id] = Entry(request = request, latestStartMillis = latestStart)
    }

    fun remove(id: String): Boolean = waiting.remove(id) != null

    fun removeIngressDaemon(ingressDaemon: String) {
        waiting.values.removeIf { it.request.ingressDaemon == ingressDaemon }
    }

    fun ordered(nowMillis: Long): List<PlacementRequest> = waiting.values
        .sortedWith(
            compareBy<Entry> { it.latestStartMillis < nowMillis }
                .thenBy { it.request.priority }
                .thenBy { it.latestStartMillis },
        )
        .map { it.request }

    private data class Entry(
        val request: PlacementRequest,
        val latestStartMillis: Long,
    )
}
