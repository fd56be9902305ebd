package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.route.ServiceProfile
import org.bulrushtack.forward.log.LogField
import java.util.concurrent.ScheduledFuture

/** A placement on a plain server, which this daemon selects from its own record of sends. */
internal class PlainAttemptPlacement(
    private val dependencies: ExchangeDependencies,
    private val context: ForwardedRequestContext,
    private val service: ServiceProfile,
    private val excluded: Set<String>,
    private val listener: AttemptPlacementListener,
) : AttemptPlacement {
    private var serverInUse: String? = null
    private var retry: ScheduledFuture<*>? = null

    override fun start() {
        val nowMillis = dependencies.thread.nowMillis()
        val selected = dependencies.plainServerSelector.select(
            servers = dependencies.state.fleet.usableOf(service.name, nowMillis),
            service = service,
            dataCentre = dependencies.state.daemons.self.dataCentre,
            excluded = excluded,
            nowMillis = nowMillis,
        )
        when {
            selected != null -> {
                serverInUse = selected.entry.id
                dependencies.plainServerSelector.recordSend(selected.entry.id, nowMillis)
                log("A request was placed.", selected.entry.id, nowMillis)
                listener.onPlaced(SendTarget(selected.entry.id, selected.entry.address))
            }
            nowMillis - context.receivedAtMillis >= context.timeouts.placementMillis / WAIT_DIVISOR -> {
                log("A request could not be placed.", server = null, nowMillis)
                listener.onRefused(ErrorKind.NO_BACKEND_SERVER, dependencies.retryAfterPolicy.delayMillis())
            }
            else -> retry = dependencies.thread.schedule(RETRY_DELAY_MILLIS) { start() }
        }
    }

    override fun cancel() {
        retry?.cancel(false)
        serverInUse?.let { release(PlacementOutcome.ABANDONED, it, firstEventMillis = null) }
    }

    override fun release(outcome: PlacementOutcome, serverId: String, firstEventMillis: Long?) {
        val id = serverInUse ?: return
        serverInUse = null
        dependencies.plainServerSelector.recordCompletion(id)
        dependencies.health.recordOutcome(
            id = id,
            outcome = outcome,
            slowness = null,
            nowMillis = dependencies.thread.nowMillis(),
        )
    }

    private fun log(message: String, server: String?, nowMillis: Long) = dependencies.log.info(
        message,
        LogField("request", context.requestId),
        LogField("server", server),
        LogField("waited_millis", nowMillis - context.receivedAtMillis),
        LogField("usable_servers", dependencies.state.fleet.usableOf(service.name, nowMillis).size),
        LogField("excluded", excluded.size),
        LogField("version", dependencies.state.routing?.configuration?.version),
    )
}

/** Short enough to find a server soon after it returns, while the call keeps most of its time. */
private const val RETRY_DELAY_MILLIS = 30L
private const val WAIT_DIVISOR = 2
