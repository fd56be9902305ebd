package org.bulrushtack.forward

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags

/** Gauges that have one value for each service. */
class ServiceGauges internal constructor(
    private val registry: MeterRegistry,
) {
    private val gauges = HashMap<String, MultiGauge>()

    /** Replaces the values of the gauge [name]; services that are not in [values] have none any more. */
    fun set(name: String, values: Map<String, Number>) {
        val gauge = gauges.getOrPut(name) { MultiGauge.builder(name).register(registry) }
        gauge.register(values.map { (service, value) -> MultiGauge.Row.of(Tags.of("service", service), value) }, true)
    }
}
