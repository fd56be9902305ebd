package org.bulrushtack.forward.placement

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.placers
import org.bulrushtack.core.placement.EngineAllocations
import org.bulrushtack.core.placement.EngineModel
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.core.placement.PlacementOutcome
import org.bulrushtack.core.placement.PlacementReport
import org.bulrushtack.core.placement.PlacementRequest
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.core.route.EngineProfile
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.forward.peer.PlacementMessages
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.protocol.CoordinationMethods

/**
 * Finds places on engines: asks the daemon that places work, the next one when that is silent, and decides alone when
 * both are.
 */
internal class PlaceFinder(
    private val broker: PlacementBroker,
    private val state: ForwardState,
    private val connections: PeerConnections,
    private val health: ServerHealth,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    /** A search for a place for [request] on engines of [profile]. */
    fun find(request: PlacementRequest, profile: EngineProfile, listener: PlaceSearch.Listener): PlaceSearch =
        Search(request = request, model = EngineModel(profile), listener = listener)

    private inner class Search(
        private val request: PlacementRequest,
        private val model: EngineModel,
        private val listener: PlaceSearch.Listener,
    ) : PlaceSearch {
        private var remote: RemotePlacement? = null
        private var decider: DaemonInfo? = null
        private var asked = 0
        private var ended = false

        override fun begin() {
            val placer = state.daemons.placers(thread.nowMillis()).firstOrNull()
            val alone = placer == null || placer.name == state.daemons.self.name || asked >= MAXIMUM_ASKED
            when {
                ended -> Unit
                alone && mustSettle() -> thread.after(SETTLING_LOOK_MILLIS) { begin() }
                alone -> decideHere(placesForAll = placer?.name == state.daemons.self.name)
                else -> ask(checkNotNull(placer))
            }
        }

        /** A long prompt takes several engines for seconds; two daemons must not give it the same ones. */
        private fun mustSettle(): Boolean {
            val isLong = model.readMillis(request.shape.promptTokens) > LONG_READ_MILLIS
            return isLong && !state.settling.isOver(thread.nowMillis())
        }

        override fun cancel() {
            ended = true
            remote?.cancel("the caller left")
            if (decider == null) broker.withdrawHere(request.id)
            broker.account.drop(request.id)
        }

        override fun release(report: PlacementReport) {
            broker.account.drop(request.id)
            val remotely = decider
            if (remotely == null) {
                broker.releaseHere(report)
            } else {
                if (report.outcome == PlacementOutcome.FAILED) health.failed(report.serverId, thread.nowMillis())
                connections.unary(
                    address = remotely.peerAddress,
                    method = CoordinationMethods.RELEASE,
                    request = PlacementMessages.toWire(report),
                    timeoutMillis = RELEASE_MILLIS,
                ).exceptionally { failure ->
                    log.info(
                        "A release was not confirmed; the next account makes up for it.",
                        LogField("request", request.id),
                        LogField("daemon", remotely.name),
                        LogField("reason", failure.message),
                    )
                    null
                }
            }
        }

        private fun decideHere(placesForAll: Boolean) {
            val knowsAll = placesForAll && state.settling.isOver(thread.nowMillis())
            decider = null
            broker.reconcile(taker = state.daemons.self.name, account = broker.account.residents)
            broker.placeHere(request.copy(spread = !knowsAll)) { decide(it) }
        }

        private fun ask(placer: DaemonInfo) {
            asked += 1
            decider = placer
            val call = connections.newCall(placer.peerAddress, CoordinationMethods.PLACE, remainingMillis())
            val placement = RemotePlacement(request, call, onDecision = ::decide, onLost = { lost(placer, it) })
            remote = placement
            placement.start(thread.nowMillis())
            thread.after(ANSWER_MILLIS) {
                if (!placement.answered && remote === placement && !ended) {
                    placement.cancel("no answer")
                    lost(placer, "no answer within $ANSWER_MILLIS ms")
                }
            }
        }

        private fun lost(placer: DaemonInfo, reason: String) {
            if (ended) return
            remote = null
            state.daemons.failed(placer.peerAddress, thread.nowMillis())
            log.warn(
                "The placing daemon gave no answer; asking the next.",
                LogField("request", request.id),
                LogField("daemon", placer.name),
                LogField("reason", reason),
            )
            begin()
        }

        private fun decide(decision: PlacementDecision) {
            if (ended || decision is PlacementDecision.Waiting) return
            ended = true
            if (decision is PlacementDecision.Placed) {
                val readMillis = model.readMillis(request.shape.promptTokens)
                val residents = EngineAllocations.of(request, decision.placement, readMillis, thread.nowMillis())
                broker.account.hold(request.id, residents)
            }
            listener.onFound(decision)
        }

        private fun remainingMillis(): Long =
            maxOf(SHORTEST_CALL_MILLIS, request.giveUpAtMillis - thread.nowMillis() + ANSWER_MILLIS)
    }
}

/** Longer than any short prompt takes to read, and shorter than any that is read on several engines. */
private const val LONG_READ_MILLIS = 300.0
private const val SETTLING_LOOK_MILLIS = 50L

/** The placing daemon and the one after it. */
private const val MAXIMUM_ASKED = 2

/** Some fifty times a round trip between data centres, and half of what a short prompt has to spare. */
private const val ANSWER_MILLIS = 120L

/** Far above a round trip; the next account makes up for a release that is lost. */
private const val RELEASE_MILLIS = 1_000L

/** A call must outlive the reply that says that the request was given up. */
private const val SHORTEST_CALL_MILLIS = 200L
