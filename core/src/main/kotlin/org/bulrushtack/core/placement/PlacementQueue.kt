package org.bulrushtack.core.placement

import org.bulrushtack.core.admission.QueuedRequest

/** The requests that wait for a placement. */
internal class PlacementQueue {
    private val waiting = LinkedHashMap<String, QueuedRequest>()

    val size: Int get() = waiting.size

    fun add(queued: QueuedRequest) {
        waiting[queued.request.id] = queued
    }

    fun remove(id: String): Boolean = waiting.remove(id) != null

    fun removeIngressDaemon(ingressDaemon: String) {
        waiting.values.removeIf { it.request.ingressDaemon == ingressDaemon }
    }

    fun hasService(service: String): Boolean = waiting.values.any { it.request.service == service }

    /** The waiting requests of each service. */
    fun byService(): Map<String, List<QueuedRequest>> = waiting.values.groupBy { it.request.service }
}
