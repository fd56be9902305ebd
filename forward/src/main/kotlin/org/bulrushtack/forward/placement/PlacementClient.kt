package org.bulrushtack.forward.placement

import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.leaderCandidates
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
 * Obtains placements on engines: requests them from the placement leader, from the next daemon in rank when the leader
 * doesn't respond, and decides locally when neither does.
 */
internal class PlacementClient(
    private val broker: PlacementBroker,
    private val state: ForwardState,
    private val connections: PeerConnections,
    private val health: ServerHealth,
    private val thread: ForwardThread,
    private val log: EventLog,
) {
    /** Creates the session that places [request] on engines of [profile]; it starts with [PlacementSession.start]. */
    fun newSession(
        request: PlacementRequest,
        profile: EngineProfile,
        listener: PlacementSession.Listener,
    ): PlacementSession = ClientSession(request = request, model = EngineModel(profile), listener = listener)

    private inner class ClientSession(
        private val request: PlacementRequest,
        private val model: EngineModel,
        private val listener: PlacementSession.Listener,
    ) : PlacementSession {
        private var remote: RemotePlacement? = null
        private var remoteDecider: DaemonInfo? = null
        private var remoteAttempts = 0
        private var finished = false

        override fun start() {
            val leader = state.daemons.leaderCandidates(thread.nowMillis()).firstOrNull()
            val isLeader = leader?.name == state.daemons.self.name
            val decidesLocally = leader == null || isLeader || remoteAttempts >= MAXIMUM_REMOTE_ATTEMPTS
            when {
                finished -> Unit
                decidesLocally && mustWaitForGracePeriod() -> thread.schedule(GRACE_PERIOD_CHECK_MILLIS) { start() }
                decidesLocally -> decideLocally(isLeader)
                else -> requestFrom(checkNotNull(leader))
            }
        }

        /**
         * Whether a long prompt has to wait until the startup grace period is over. Such a prompt occupies several
         * engines for seconds, and two daemons must not assign the same ones.
         */
        private fun mustWaitForGracePeriod(): Boolean {
            val isLong = model.prefillMillis(request.shape.promptTokens) > LONG_PREFILL_MILLIS
            return isLong && !state.startupGracePeriod.isOver(thread.nowMillis())
        }

        override fun cancel() {
            finished = true
            remote?.cancel("the caller disconnected")
            if (remoteDecider == null) broker.withdraw(request.id)
            broker.activePlacements.remove(request.id)
        }

        override fun release(report: PlacementReport) {
            broker.activePlacements.remove(request.id)
            val peer = remoteDecider
            if (peer == null) {
                broker.release(report)
            } else {
                if (report.outcome == PlacementOutcome.FAILED) health.recordFailure(report.serverId, thread.nowMillis())
                connections.unary(
                    address = peer.peerAddress,
                    method = CoordinationMethods.RELEASE,
                    request = PlacementMessages.toWire(report),
                    timeoutMillis = RELEASE_TIMEOUT_MILLIS,
                ).exceptionally { failure ->
                    log.info(
                        "A release was not confirmed; the next sync corrects the allocations.",
                        LogField("request", request.id),
                        LogField("daemon", peer.name),
                        LogField("reason", failure.message),
                    )
                    null
                }
            }
        }

        private fun decideLocally(isLeader: Boolean) {
            val knowsAllPlacements = isLeader && state.startupGracePeriod.isOver(thread.nowMillis())
            remoteDecider = null
            broker.reconcile(ingressDaemon = state.daemons.self.name, allocations = broker.activePlacements.allocations)
            broker.submit(request.copy(spread = !knowsAllPlacements)) { onDecision(it) }
        }

        private fun requestFrom(leader: DaemonInfo) {
            remoteAttempts += 1
            remoteDecider = leader
            val call = connections.newCall(leader.peerAddress, CoordinationMethods.PLACE, callTimeoutMillis())
            val placement =
                RemotePlacement(request, call, onDecision = ::onDecision, onFailure = { onLeaderFailure(leader, it) })
            remote = placement
            placement.start(thread.nowMillis())
            thread.schedule(REPLY_TIMEOUT_MILLIS) {
                if (!placement.replied && remote === placement && !finished) {
                    placement.cancel("no reply in time")
                    onLeaderFailure(leader, "no reply within $REPLY_TIMEOUT_MILLIS ms")
                }
            }
        }

        private fun onLeaderFailure(leader: DaemonInfo, reason: String) {
            if (finished) return
            remote = null
            state.daemons.markUnresponsive(leader.peerAddress, thread.nowMillis())
            log.warn(
                "The placement leader did not reply; trying the next daemon.",
                LogField("request", request.id),
                LogField("daemon", leader.name),
                LogField("reason", reason),
            )
            start()
        }

        private fun onDecision(decision: PlacementDecision) {
            if (finished || decision is PlacementDecision.Waiting) return
            finished = true
            if (decision is PlacementDecision.Placed) {
                val prefillMillis = model.prefillMillis(request.shape.promptTokens)
                val allocations =
                    EngineAllocations.compute(request, decision.placement, prefillMillis, thread.nowMillis())
                broker.activePlacements.add(request.id, allocations)
            }
            listener.onDecision(decision)
        }

        private fun callTimeoutMillis(): Long =
            maxOf(MINIMUM_CALL_TIMEOUT_MILLIS, request.giveUpAtMillis - thread.nowMillis() + REPLY_TIMEOUT_MILLIS)
    }
}

/** Longer than the prefill of any short prompt, and shorter than that of any prompt split across several engines. */
private const val LONG_PREFILL_MILLIS = 300.0
private const val GRACE_PERIOD_CHECK_MILLIS = 50L

/** The placement leader and the next daemon in rank. */
private const val MAXIMUM_REMOTE_ATTEMPTS = 2

/** About fifty round trips between data centres, and half of the slack of a short prompt. */
private const val REPLY_TIMEOUT_MILLIS = 120L

/** Far above a round trip; the next sync corrects the allocations when a release is lost. */
private const val RELEASE_TIMEOUT_MILLIS = 1_000L

/** The call has to stay open until the reply that refuses an expired request arrives. */
private const val MINIMUM_CALL_TIMEOUT_MILLIS = 200L
