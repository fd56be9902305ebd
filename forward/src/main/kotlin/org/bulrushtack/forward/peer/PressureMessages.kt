package org.bulrushtack.forward.peer

import org.bulrushtack.core.admission.ServicePressure
import org.bulrushtack.protocol.ServicePressure as PressureMessage

/** Converts pressures of services to and from messages. */
internal object PressureMessages {
    fun toWire(pressure: ServicePressure): PressureMessage = PressureMessage.newBuilder()
        .setService(pressure.service)
        .setPlacedMillis(pressure.placedMillis)
        .addAllWaitingMillis(pressure.waitingMillis)
        .setUsableEngines(pressure.usableEngines)
        .setAgeMillis(pressure.ageMillis)
        .build()

    /** The usable pressures in [messages] from [source], [delayMillis] after they were asked for. */
    fun fromWire(messages: List<PressureMessage>, source: String, delayMillis: Long): List<ServicePressure> = messages
        .filter { message -> (message.waitingMillisList + message.placedMillis).all { it.isFinite() && it >= 0 } }
        .map { message ->
            ServicePressure(
                service = message.service,
                placedMillis = message.placedMillis,
                waitingMillis = message.waitingMillisList.toList(),
                usableEngines = maxOf(0, message.usableEngines),
                ageMillis = message.ageMillis.coerceIn(0, Int.MAX_VALUE.toLong()) + delayMillis,
                source = source,
            )
        }
}
