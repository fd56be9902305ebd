package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PromptShape

/** Makes the search for a place that the service of [order] needs. */
internal class AttemptPlaces(
    private val tools: ExchangeTools,
    private val order: ForwardOrder,
) {
    /** The search for try [number]; null when the service is not configured. */
    fun create(number: Int, excluded: Set<String>, listener: AttemptPlaceListener): AttemptPlace? {
        val service = tools.state.routing?.service(order.service)
        val engine = service?.engine
        val shape = order.caller.prompt
        return when {
            service == null -> null
            engine != null && shape != null ->
                EnginePlace(tools, request(shape, number, excluded), listener, profile = engine)
            else -> PlainPlace(tools, order, service, excluded, listener)
        }
    }

    private fun request(shape: PromptShape, number: Int, excluded: Set<String>) = PlacementRequest(
        id = "${order.requestId}-$number",
        ingressDaemon = tools.state.daemons.self.name,
        service = order.service,
        dataCentre = tools.state.daemons.self.dataCentre,
        shape = shape,
        tokenGapMillis = order.route.tokenGapMillis ?: order.route.objectiveMillis,
        priority = order.priority,
        receivedAtMillis = tools.thread.nowMillis(),
        objectiveAtMillis = order.receivedAtMillis + order.route.objectiveMillis,
        giveUpAtMillis = minOf(order.receivedAtMillis + order.patience.placementMillis, order.finalAtMillis),
        excluded = excluded,
    )
}
