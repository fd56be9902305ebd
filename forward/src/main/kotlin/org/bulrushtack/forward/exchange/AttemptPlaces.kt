package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape

/** Makes the search for a place that the service of [order] needs. */
internal class AttemptPlaces(
    private val dependencies: ExchangeDependencies,
    private val order: ForwardOrder,
) {
    /** The search for try [number]; null when the service is not configured. */
    fun create(number: Int, excluded: Set<String>, listener: AttemptPlaceListener): AttemptPlace? {
        val service = dependencies.state.routing?.service(order.service)
        val engine = service?.engine
        val shape = order.caller.prompt
        return when {
            service == null -> null
            engine != null && shape != null ->
                EnginePlace(dependencies, request(shape, number, excluded), listener, profile = engine)
            else -> PlainPlace(dependencies, order, service, excluded, listener)
        }
    }

    private fun request(shape: PromptShape, number: Int, excluded: Set<String>) = PlacementRequest(
        id = "${order.requestId}-$number",
        ingressDaemon = dependencies.state.daemons.self.name,
        service = order.service,
        dataCentre = dependencies.state.daemons.self.dataCentre,
        shape = shape,
        tokenGapMillis = order.route.tokenGapMillis ?: order.route.objectiveMillis,
        priority = order.priority,
        receivedAtMillis = dependencies.thread.nowMillis(),
        objectiveAtMillis = order.receivedAtMillis + order.route.objectiveMillis,
        giveUpAtMillis = minOf(order.receivedAtMillis + order.patience.placementMillis, order.finalAtMillis),
        excluded = excluded,
    )
}
