package org.bulrushtack.forward

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tags
import org.bulrushtack.core.admission.RefusalReason
import org.bulrushtack.core.placement.PlacementRequest

/** Counts requests that wait for engines or are refused, by workspace, kind and priority. */
class ShortageMetrics internal constructor(
    private val registry: MeterRegistry,
) {
    private val known = HashSet<Tags>()

    /** Records that [request] was placed after it had waited for [millis]. */
    fun recordDelay(request: PlacementRequest, millis: Long) {
        val tags = tags(request)
        registry.counter("bulrushtack.forward.place.delayed", tags).increment()
        registry.counter("bulrushtack.forward.place.delayed.millis", tags).increment(millis.toDouble())
    }

    /** Records that [request] was refused for [reason]. */
    fun recordRefusal(request: PlacementRequest, reason: RefusalReason) =
        registry.counter("bulrushtack.forward.place.refused", tags(request).and("reason", reason.code)).increment()

    private fun tags(request: PlacementRequest): Tags {
        val tags = Tags.of(
            "workspace",
            request.workspace,
            "kind",
            request.kind,
            "priority",
            "${request.priority}",
        )
        return if (tags in known || (known.size < MAXIMUM_SERIES && known.add(tags))) tags else OTHER
    }
}

/** Bounds the memory of the counters; further workspaces and kinds are counted together. */
private const val MAXIMUM_SERIES = 500
private val OTHER = Tags.of("workspace", "other", "kind", "other", "priority", "other")
