package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.fleet.BackendServerState
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.placement.PlainCall
import org.bulrushtack.forward.log.LogField
import java.util.concurrent.ScheduledFuture

/**
 * A placement on a plain server, which this daemon selects itself. A call that servers have just turned away waits a
 * short time for a place before its last send.
 *
 * @param number the number of sends before this one
 */
internal class PlainAttemptPlacement(
    private val dependencies: ExchangeDependencies,
    private val context: ForwardedRequestContext,
    private val call: PlainCall,
    private val number: Int,
    private val listener: AttemptPlacementListener,
) : AttemptPlacement {
    private val selector = dependencies.plainServerSelector
    private val service = call.service
    private var serverInUse: String? = null
    private var sentAtMillis = 0L
    private var hasWaited = false
    private var retry: ScheduledFuture<*>? = null

    override fun start() {
        val nowMillis = dependencies.thread.nowMillis()
        val usable = dependencies.state.fleet.usableOf(service.name, nowMillis)
        val selected = select(usable, nowMillis)
        val waitMillis = if (selected == null) 0 else waitMillis(usable, nowMillis)
        val isTooLate = nowMillis - context.receivedAtMillis >= context.timeouts.placementMillis / WAIT_DIVISOR
        when {
            waitMillis > 0 -> retryAfter(waitMillis)
            selected != null -> place(selected, nowMillis)
            isTooLate -> {
                log("A request could not be placed.", server = null, nowMillis)
                listener.onRefused(ErrorKind.NO_BACKEND_SERVER, dependencies.retryAfterPolicy.delayMillis())
            }
            else -> retryAfter(RETRY_DELAY_MILLIS)
        }
    }

    /** After a wait, a server that turned the call away before may have room and is better than none. */
    private fun select(usable: List<BackendServerState>, nowMillis: Long): BackendServerState? {
        val excluded =
            if (hasWaited) call.excluded.filterNot { selector.isRejecting(it, nowMillis) }.toSet() else call.excluded
        return selector.select(usable, call, nowMillis)
            ?: selector.select(usable, call.copy(excluded = excluded), nowMillis)
    }

    private fun waitMillis(usable: List<BackendServerState>, nowMillis: Long): Long {
        val asked = call.excluded.ifEmpty { usable.map { it.entry.id }.toSet() }
        return if (hasWaited) {
            0
        } else {
            dependencies.plainWaitPolicy.waitMillis(
                isTurnedAway = asked.all { selector.isRejecting(it, nowMillis) },
                isLastSend = call.excluded.isEmpty() || number + 1 >= context.route.maximumSends,
                ageMillis = nowMillis - context.receivedAtMillis,
                objectiveMillis = context.route.objectiveMillis,
            )
        }
    }

    private fun retryAfter(millis: Long) {
        hasWaited = true
        retry = dependencies.thread.schedule(millis) { start() }
    }

    private fun place(server: BackendServerState, nowMillis: Long) {
        val id = server.entry.id
        serverInUse = id
        sentAtMillis = nowMillis
        selector.recordSend(id, nowMillis)
        if (hasWaited) dependencies.metrics.recordPlacementWait(nowMillis - context.receivedAtMillis, kind = "plain")
        log("A request was placed.", id, nowMillis)
        listener.onPlaced(SendTarget(id, server.entry.address))
    }

    override fun cancel() {
        retry?.cancel(false)
        serverInUse?.let { release(PlacementOutcome.ABANDONED, it, firstEventMillis = null) }
    }

    override fun release(outcome: PlacementOutcome, serverId: String, firstEventMillis: Long?) {
        val id = serverInUse ?: return
        serverInUse = null
        val nowMillis = dependencies.thread.nowMillis()
        selector.recordCompletion(
            id = id,
            kind = call.kind,
            outcome = outcome,
            tookMillis = nowMillis - sentAtMillis,
            nowMillis = nowMillis,
        )
    }

    private fun log(message: String, server: String?, nowMillis: Long) = dependencies.log.info(
        message,
        LogField("request", context.requestId),
        LogField("server", server),
        LogField("waited_millis", nowMillis - context.receivedAtMillis),
        LogField("usable_servers", dependencies.state.fleet.usableOf(service.name, nowMillis).size),
        LogField("excluded", call.excluded.size),
        LogField("version", dependencies.state.routing?.configuration?.version),
    )
}

/** Short enough to find a server soon after it returns, while the call keeps most of its time. */
private const val RETRY_DELAY_MILLIS = 30L
private const val WAIT_DIVISOR = 2
