package org.bulrushtack.forward.duty

import org.bulrushtack.core.scaling.DataCentreServers
import org.bulrushtack.core.scaling.ScaledService
import org.bulrushtack.forward.store.ForwardState

/** What this daemon knows of the servers that are ordered, and of the daemons that report the load. */
internal class ScaledFleet(
    private val state: ForwardState,
    private val serversAgeMillis: () -> Long,
) {
    private val seenDataCentres = HashSet<String>()

    /** The services whose servers are ordered. */
    val services: List<ScaledService>
        get() = state.routing?.configuration?.services.orEmpty().mapNotNull { service ->
            val profile = service.engine
            val limits = service.scale
            if (profile == null || limits == null) {
                null
            } else {
                ScaledService(service.name, profile, limits, longestObjectiveMillis(service.name))
            }
        }

    /** The time since the list of servers was read from the store, by this daemon or another. */
    val ageMillis: Long get() = serversAgeMillis()

    /** The names of the live daemons, this one included. */
    fun liveDaemons(nowMillis: Long): Set<String> =
        (state.daemons.live(nowMillis) + state.daemons.self).mapTo(HashSet()) { it.name }

    /** The servers of [service] by data centre. A data centre is dark when its daemons or its servers are gone. */
    fun dataCentres(service: String, nowMillis: Long): List<DataCentreServers> {
        val live = (state.daemons.live(nowMillis) + state.daemons.self).mapTo(HashSet()) { it.dataCentre }
        seenDataCentres.addAll(live)
        val usable = state.fleet.usableOf(service, nowMillis).groupingBy { it.entry.dataCentre }.eachCount()
        val present = state.fleet.stored.filter { it.entry.service == service }
            .groupingBy { it.entry.dataCentre }
            .eachCount()
        return (present.keys + usable.keys).sorted().map { name ->
            val isDark = name in seenDataCentres && name !in live
            DataCentreServers(
                name = name,
                usable = usable[name] ?: 0,
                present = present[name] ?: 0,
                isServing = usable[name] != null && !isDark,
            )
        }
    }

    private fun longestObjectiveMillis(service: String): Long = state.routing?.configuration?.routes.orEmpty()
        .filter { route -> route.streamed && route.split.any { it.service == service } }
        .maxOfOrNull { it.objectiveMillis } ?: Long.MAX_VALUE
}
