package org.bulrushtack.core.admission

import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.placement.EnginePlacer
import org.bulrushtack.core.placement.PlacementQueue
import org.bulrushtack.core.route.RoutingTable

/** Measures the pressure of each service with engines, where the placements are decided. */
public class PressureMeter internal constructor(
    private val fleet: FleetRegion,
    private val queue: PlacementQueue,
    private val placer: EnginePlacer,
    private val routing: () -> RoutingTable?,
) {
    /** The pressures of all services at [nowMillis], as [source] knows them. */
    public fun measure(nowMillis: Long, source: String): List<ServicePressure> {
        val waiting = queue.byService()
        return routing()?.configuration?.services.orEmpty().mapNotNull { service ->
            val engine = service.engine ?: return@mapNotNull null
            val engines = placer.timelines(fleet.usableOf(service.name, nowMillis), engine, nowMillis)
            ServicePressure(
                service = service.name,
                placedMillis = engines.sumOf { it.busyMillis },
                waitingMillis = byPriority(waiting[service.name].orEmpty()),
                usableEngines = engines.size,
                ageMillis = 0,
                source = source,
            )
        }
    }

    private fun byPriority(waiting: List<QueuedRequest>): List<Double> {
        val last = waiting.maxOfOrNull { it.request.priority } ?: return emptyList()
        return (0..last).map { priority ->
            waiting.filter { it.request.priority == priority }.sumOf { it.workMillis }
        }
    }
}
