package org.bulrushtack.forward.duty

import org.bulrushtack.forward.ForwardMetrics

/** The gauges of ordered servers, by service and data centre; they are not a number while others hold the duties. */
internal class ScaleGauges(
    private val metrics: ForwardMetrics,
) {
    private val values = HashMap<Pair<String, String>, Values>()

    /** Sets the numbers of servers of [service] in [dataCentre]. */
    fun set(service: String, dataCentre: String, desired: Int?, ready: Int, billed: Int) {
        val current = values.getOrPut(service to dataCentre) { register(service, dataCentre) }
        current.desired = desired?.toDouble() ?: Double.NaN
        current.ready = ready.toDouble()
        current.billed = billed.toDouble()
    }

    /** Marks all numbers as unknown. */
    fun clear() = values.values.forEach { it.clear() }

    private fun register(service: String, dataCentre: String): Values {
        val created = Values()
        val tags = mapOf("service" to service, "data_centre" to dataCentre)
        metrics.gauge("bulrushtack.forward.scale.desired", tags) { created.desired }
        metrics.gauge("bulrushtack.forward.scale.ready", tags) { created.ready }
        metrics.gauge("bulrushtack.forward.scale.billed", tags) { created.billed }
        return created
    }

    private class Values {
        var desired = Double.NaN
        var ready = Double.NaN
        var billed = Double.NaN

        fun clear() {
            desired = Double.NaN
            ready = Double.NaN
            billed = Double.NaN
        }
    }
}
