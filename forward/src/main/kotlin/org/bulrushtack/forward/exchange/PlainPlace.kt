package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.route.ServiceProfile
import org.bulrushtack.forward.log.LogField
import java.util.concurrent.ScheduledFuture

/** A place on a plain server, which this daemon chooses by its own sends. */
internal class PlainPlace(
    private val dependencies: ExchangeDependencies,
    private val order: ForwardOrder,
    private val service: ServiceProfile,
    private val excluded: Set<String>,
    private val listener: AttemptPlaceListener,
) : AttemptPlace {
    private var used: String? = null
    private var retry: ScheduledFuture<*>? = null

    override fun begin() {
        val nowMillis = dependencies.thread.nowMillis()
        val chosen = dependencies.plainChoice.select(
            servers = dependencies.state.fleet.usableOf(service.name, nowMillis),
            service = service,
            dataCentre = dependencies.state.daemons.self.dataCentre,
            excluded = excluded,
            nowMillis = nowMillis,
        )
        when {
            chosen != null -> {
                used = chosen.entry.id
                dependencies.plainChoice.recordSend(chosen.entry.id, nowMillis)
                log("A request has a place.", chosen.entry.id, nowMillis)
                listener.placed(SendTarget(chosen.entry.id, chosen.entry.address))
            }
            nowMillis - order.receivedAtMillis >= order.patience.placementMillis / WAIT_PART -> {
                log("A request got no place.", server = null, nowMillis)
                listener.refused(ErrorKind.NO_BACKEND_SERVER, dependencies.returnAdvice.delayMillis())
            }
            else -> retry = dependencies.thread.schedule(RETRY_MILLIS) { begin() }
        }
    }

    override fun cancel() {
        retry?.cancel(false)
        used?.let { release(PlacementOutcome.ABANDONED, it, firstEventMillis = null) }
    }

    override fun release(outcome: PlacementOutcome, serverId: String, firstEventMillis: Long?) {
        val id = used ?: return
        used = null
        dependencies.plainChoice.recordCompletion(id)
        dependencies.health.recordOutcome(
            id = id,
            outcome = outcome,
            slowness = null,
            nowMillis = dependencies.thread.nowMillis(),
        )
    }

    private fun log(message: String, server: String?, nowMillis: Long) = dependencies.log.info(
        message,
        LogField("request", order.requestId),
        LogField("server", server),
        LogField("waited_millis", nowMillis - order.receivedAtMillis),
        LogField("usable_servers", dependencies.state.fleet.usableOf(service.name, nowMillis).size),
        LogField("excluded", excluded.size),
        LogField("version", dependencies.state.routing?.configuration?.version),
    )
}

/** A server that comes back is found soon, and a call keeps most of its time. */
private const val RETRY_MILLIS = 30L
private const val WAIT_PART = 2
