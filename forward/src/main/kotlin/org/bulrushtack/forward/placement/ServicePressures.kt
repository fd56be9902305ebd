package org.bulrushtack.forward.placement

import org.bulrushtack.core.admission.ServicePressure
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField

/** The newest known pressure of each service, measured here or heard from the placement leader. */
internal class ServicePressures(
    private val metrics: ForwardMetrics,
    private val log: EventLog,
) {
    private val byService = HashMap<String, Measured>()
    private val pressed = HashSet<String>()

    /** The pressures known at [nowMillis], with their ages. */
    fun current(nowMillis: Long): List<ServicePressure> =
        byService.values.map { it.pressure.copy(ageMillis = nowMillis - it.atMillis) }

    /** Takes in what was measured or heard; older figures than the known ones are ignored. */
    fun merge(pressures: List<ServicePressure>, nowMillis: Long) {
        pressures.filter { it.ageMillis in 0..MAXIMUM_AGE_MILLIS }.forEach { pressure ->
            val atMillis = nowMillis - pressure.ageMillis
            val known = byService[pressure.service]
            if (known == null || known.atMillis < atMillis) {
                byService[pressure.service] = Measured(pressure, atMillis)
                logCrossing(pressure)
            }
        }
    }

    /** Forgets figures that are too old and publishes the others. */
    fun tick(nowMillis: Long) {
        byService.values.removeIf { nowMillis - it.atMillis > MAXIMUM_AGE_MILLIS }
        pressed.retainAll(byService.keys)
        val known = current(nowMillis)
        mapOf<String, (ServicePressure) -> Number>(
            "bulrushtack.forward.pressure" to { it.value },
            "bulrushtack.forward.pressure.age" to { it.ageMillis },
            "bulrushtack.forward.pressure.placed.millis" to { it.placedMillis },
            "bulrushtack.forward.pressure.waiting.millis" to { it.waitingMillis.sum() },
        ).forEach { (name, value) -> metrics.serviceGauges.set(name, known.associate { it.service to value(it) }) }
    }

    private fun logCrossing(pressure: ServicePressure) {
        val wasPressed = pressure.service in pressed
        val isPressed = pressure.value > if (wasPressed) RELIEF_PRESSURE else 1.0
        if (isPressed == wasPressed) return
        if (isPressed) pressed.add(pressure.service) else pressed.remove(pressure.service)
        log.info(
            if (isPressed) "The pressure of a service rose above 1." else "The pressure of a service fell below 1.",
            LogField("service", pressure.service),
            LogField("pressure", "%.2f".format(pressure.value)),
            LogField("placed_millis", pressure.placedMillis.toLong()),
            LogField("waiting_millis", pressure.waitingMillis.joinToString(",") { "${it.toLong()}" }),
            LogField("usable_engines", pressure.usableEngines),
            LogField("source", pressure.source),
            LogField("age_millis", pressure.ageMillis),
        )
    }

    private class Measured(
        val pressure: ServicePressure,
        val atMillis: Long,
    )
}

/** Several syncs; without a newer figure the pressure is unknown. */
private const val MAXIMUM_AGE_MILLIS = 5_000L

/** Keeps a pressure about 1 from filling the log. */
private const val RELIEF_PRESSURE = 0.9
