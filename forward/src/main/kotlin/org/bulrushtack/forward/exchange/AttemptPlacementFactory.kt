package org.bulrushtack.forward.exchange

import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.PlainCall
import org.bulrushtack.core.placement.PromptShape
import org.bulrushtack.core.route.ServiceProfile

/** Creates the placement that an attempt needs: on engines for a prompt, else on a plain server. */
internal class AttemptPlacementFactory(
    private val dependencies: ExchangeDependencies,
    private val context: ForwardedRequestContext,
) {
    /** The placement for attempt [number]; null when the service is not configured. */
    fun create(number: Int, excluded: Set<String>, listener: AttemptPlacementListener): AttemptPlacement? {
        val service = dependencies.state.routing?.service(context.service)
        val engine = service?.engine
        val shape = context.caller.prompt
        return when {
            service == null -> null
            engine != null && shape != null ->
                EngineAttemptPlacement(dependencies, request(shape, number, excluded), listener, profile = engine)
            else -> PlainAttemptPlacement(dependencies, context, plainCall(service, excluded), number, listener)
        }
    }

    private fun plainCall(service: ServiceProfile, excluded: Set<String>) = PlainCall(
        service = service,
        kind = context.route.repeatability.name,
        dataCentre = dependencies.state.daemons.self.dataCentre,
        excluded = excluded,
    )

    /** The first attempt may still be refused as not run, in time for the caller to go elsewhere; a later one waits. */
    private fun waitsFromMillis(number: Int): Long =
        if (number == 0) context.receivedAtMillis else dependencies.thread.nowMillis()

    private fun request(shape: PromptShape, number: Int, excluded: Set<String>) = PlacementRequest(
        id = "${context.requestId}-$number",
        ingressDaemon = dependencies.state.daemons.self.name,
        service = context.service,
        dataCentre = dependencies.state.daemons.self.dataCentre,
        shape = shape,
        tokenGapMillis = context.route.tokenGapMillis ?: context.route.objectiveMillis,
        priority = context.priority,
        receivedAtMillis = dependencies.thread.nowMillis(),
        objectiveAtMillis = context.receivedAtMillis + context.route.objectiveMillis,
        giveUpAtMillis = minOf(waitsFromMillis(number) + context.timeouts.placementMillis, context.deadlineAtMillis),
        excluded = excluded,
        workspace = context.workspace?.name.orEmpty(),
        kind = context.route.name,
    )
}
