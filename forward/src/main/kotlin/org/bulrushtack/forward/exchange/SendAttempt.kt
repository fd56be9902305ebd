package org.bulrushtack.forward.exchange

import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.exchange.SendOutcome
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.route.Repeatability
import org.bulrushtack.core.route.ServiceProfile
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.placement.PlaceSearch
import org.bulrushtack.forward.wire.SendHead
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** One try of a request: a place is found, memory is reserved where needed, and the request is sent once. */
internal class SendAttempt(
    private val tools: ExchangeTools,
    private val order: ForwardOrder,
    private val relay: AnswerRelay,
    private val number: Int,
    private val excluded: Set<String>,
    private val onEnd: (SendEnd) -> Unit,
    private val onRefused: (ErrorKind, Long) -> Unit,
) {
    private val service: ServiceProfile? = tools.state.routing?.service(order.service)
    private val watch = SilenceWatch(tools.loop, tools.clock)
    private var search: PlaceSearch? = null
    private var target: SendTarget? = null
    private var reservations: Reservations? = null
    private var send: BackendSend? = null
    private var retry: ScheduledFuture<*>? = null
    private var sentAtMillis = 0L
    private var firstEventMillis: Long? = null
    private var over = false

    /** Whether any byte of this try may have reached a server. */
    val isSent: Boolean get() = send != null

    /** Looks for a place. */
    fun begin() {
        val shape = order.caller.prompt
        val engine = service?.engine
        when {
            service == null -> onRefused(ErrorKind.NO_BACKEND_SERVER, RETRY_AFTER_MILLIS)
            engine != null && shape != null -> {
                val places = tools.places.find(placementRequest(shape), engine) { found(it) }
                search = places
                places.begin()
            }
            else -> choosePlainServer(service)
        }
    }

    /** Ends this try without a word on the server. */
    fun cancel() {
        if (over) return
        over = true
        retry?.cancel(false)
        send?.cancel()
        free(PlacementOutcome.ABANDONED, target?.serverId)
        search?.cancel()
    }

    /** Notes that an event reached the caller. */
    fun eventRelayed() {
        if (firstEventMillis == null) firstEventMillis = tools.clock.nowMillis() - sentAtMillis
        if (mayBeReplaced()) watch.expectWithin(order.patience.pauseMillis) { silent("no further event") }
    }

    private fun placementRequest(shape: org.bulrushtack.core.placement.PromptShape) = PlacementRequest(
        id = "${order.requestId}-$number",
        taker = tools.state.daemons.self.name,
        service = order.service,
        dataCentre = tools.state.daemons.self.dataCentre,
        shape = shape,
        pauseMillis = order.route.pauseMillis ?: order.route.objectiveMillis,
        priority = order.priority,
        receivedAtMillis = tools.clock.nowMillis(),
        objectiveAtMillis = order.receivedAtMillis + order.route.objectiveMillis,
        giveUpAtMillis = minOf(order.receivedAtMillis + order.patience.placeMillis, order.finalAtMillis),
        excluded = excluded,
    )

    private fun found(decision: PlacementDecision) {
        if (over) return
        if (decision is PlacementDecision.Placed) {
            val placement = decision.placement
            tools.metrics.placed(decision.waitedMillis)
            logPlaced(decision)
            reserve(SendTarget(placement.first.serverId, placement.first.address, placement))
        } else if (decision is PlacementDecision.Refused) {
            over = true
            onRefused(decision.kind, decision.retryAfterMillis)
        }
    }

    private fun reserve(found: SendTarget) {
        target = found
        val reserved = Reservations(tools, order.requestId, prefix = "${order.requestId}-$number", found.helpers)
        reservations = reserved
        reserved.reserve { succeeded ->
            when {
                over -> reserved.release()
                succeeded -> send(found, reserved)
                else -> end(SendEnd(SendOutcome.NOT_SENT, "memory was not reserved", found.serverId), blame = false)
            }
        }
    }

    private fun choosePlainServer(profile: ServiceProfile) {
        val nowMillis = tools.clock.nowMillis()
        val chosen = tools.plainChoice.choose(
            servers = tools.state.fleet.usableOf(order.service, nowMillis),
            service = profile,
            dataCentre = tools.state.daemons.self.dataCentre,
            excluded = excluded,
            nowMillis = nowMillis,
        )
        when {
            chosen != null -> {
                tools.plainChoice.sent(chosen.entry.id, nowMillis)
                send(SendTarget(chosen.entry.id, chosen.entry.address), reserved = null)
            }
            nowMillis - order.receivedAtMillis >= order.patience.placeMillis / PLAIN_WAIT_PART -> {
                over = true
                onRefused(ErrorKind.NO_BACKEND_SERVER, RETRY_AFTER_MILLIS)
            }
            else -> retry = tools.loop.schedule({ if (!over) begin() }, PLAIN_RETRY_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun send(found: SendTarget, reserved: Reservations?) {
        target = found
        val nowMillis = tools.clock.nowMillis()
        if (tools.state.fleet.usable(found.serverId, nowMillis) == null) {
            end(SendEnd(SendOutcome.NOT_SENT, "the server may no longer be used", found.serverId), blame = false)
            return
        }
        sentAtMillis = nowMillis
        val backendSend = BackendSend(tools.codec, order.requestId, found, relay) { end(it, blame = true) }
        send = backendSend
        backendSend.start(tools.client, tools.codec.forwarded(order.request, found.address, head(found, reserved)))
        if (mayBeReplaced()) {
            watch.expectWithin(firstAnswerMillis(found)) { silent("no answer") }
        }
    }

    private fun head(found: SendTarget, reserved: Reservations?) = SendHead(
        serverId = found.serverId,
        workspace = order.workspace?.name,
        deadlineMillis = order.caller.deadlineMillis?.let { order.finalAtMillis - tools.clock.nowMillis() },
        lastEventId = (relay as? StreamRelay)?.lastEventId,
        urgency = (order.priority * URGENCY_STEP).coerceIn(0, LEAST_URGENT),
        helpers = reserved?.helpers.orEmpty(),
    )

    private fun mayBeReplaced(): Boolean = order.route.repeatability != Repeatability.ONCE

    private fun firstAnswerMillis(found: SendTarget): Long {
        val predicted = found.placement?.firstEventMillis ?: return order.route.objectiveMillis * PLAIN_OBJECTIVES
        val expected = (predicted * PREDICTION_FACTOR).toLong() + PREDICTION_MARGIN_MILLIS
        return expected.coerceIn(SHORTEST_SILENCE_MILLIS, maxOf(SHORTEST_SILENCE_MILLIS, order.patience.firstEventMillis))
    }

    /** A silent server is left only while another one may take over; else its answer may still come. */
    private fun silent(reason: String) {
        val another = number + 1 < order.route.maximumSends
        if (another) send?.giveUp(reason)
    }

    private fun end(end: SendEnd, blame: Boolean) {
        if (over) return
        over = true
        val outcome = if (blame) placementOutcome(end.outcome) else PlacementOutcome.ABANDONED
        if (end.reason == BackendSend.MISDIRECTED) tools.state.fleet.markLeaving(end.faultyServerId)
        free(outcome, end.faultyServerId)
        onEnd(end)
    }

    private fun free(outcome: PlacementOutcome, serverId: String?) {
        watch.stop()
        reservations?.release()
        val used = target ?: return
        val report = PlacementReport(
            placementId = "${order.requestId}-$number",
            serverId = serverId ?: used.serverId,
            outcome = outcome,
            slowness = slowness(used),
        )
        val placed = search
        if (placed == null) freePlain(used, report) else placed.release(report)
    }

    private fun freePlain(used: SendTarget, report: PlacementReport) {
        if (used.placement != null) return
        tools.plainChoice.ended(used.serverId)
        val nowMillis = tools.clock.nowMillis()
        when (report.outcome) {
            PlacementOutcome.SUCCEEDED -> tools.health.succeeded(used.serverId, slowness = 1.0)
            PlacementOutcome.FAILED -> tools.health.failed(used.serverId, nowMillis)
            PlacementOutcome.ANSWERED_WITH_FAILURE -> tools.health.answeredWithFailure(used.serverId)
            PlacementOutcome.REJECTED -> tools.health.rejected(used.serverId, nowMillis)
            PlacementOutcome.ABANDONED -> Unit
        }
    }

    private fun slowness(used: SendTarget): Double? {
        val predicted = used.placement?.firstEventMillis
        return firstEventMillis?.let { seen -> predicted?.let { seen / maxOf(1.0, it) } }
    }

    private fun placementOutcome(outcome: SendOutcome): PlacementOutcome = when (outcome) {
        SendOutcome.DELIVERED -> PlacementOutcome.SUCCEEDED
        SendOutcome.NOT_RUN -> PlacementOutcome.REJECTED
        SendOutcome.ANSWERED_WITH_FAILURE -> PlacementOutcome.ANSWERED_WITH_FAILURE
        SendOutcome.NOT_SENT, SendOutcome.UNKNOWN -> PlacementOutcome.FAILED
    }

    private fun logPlaced(decision: PlacementDecision.Placed) = tools.log.info(
        "A request has a place.",
        LogField("request", order.requestId),
        LogField("server", decision.placement.first.serverId),
        LogField("helpers", decision.placement.helpers.size),
        LogField("waited_millis", decision.waitedMillis),
        LogField("predicted_millis", decision.placement.firstEventMillis.toLong()),
        LogField("prompt_tokens", order.caller.prompt?.promptTokens),
        LogField("version", tools.state.routing?.configuration?.version),
    )
}

/** A first answer counts as missing after this many times its prediction, and some more. */
private const val PREDICTION_FACTOR = 2.5
private const val PREDICTION_MARGIN_MILLIS = 400L
private const val SHORTEST_SILENCE_MILLIS = 600L

/** A plain call that may be repeated goes to another server after this many objectives. */
private const val PLAIN_OBJECTIVES = 3
private const val PLAIN_RETRY_MILLIS = 30L
private const val PLAIN_WAIT_PART = 2
private const val RETRY_AFTER_MILLIS = 500L

/** Ranks of the configuration are 0, 1, 2 ...; servers know 0 to 9. */
private const val URGENCY_STEP = 2
private const val LEAST_URGENT = 9
