package org.bulrushtack.forward.exchange

import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.placement.PlainServerSelector
import org.bulrushtack.core.placement.PlainWaitPolicy
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.duty.DemandRecorder
import org.bulrushtack.forward.log.EventLog
import org.bulrushtack.forward.placement.PlacementClient
import org.bulrushtack.forward.quarantine.CrashReports
import org.bulrushtack.forward.quarantine.ServerLiveness
import org.bulrushtack.forward.reachability.ReachabilityMonitor
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.wire.ExchangeCodec
import org.bulrushtack.http.HttpClient
import kotlin.random.Random

/** The collaborators that every forwarded request uses. */
internal data class ExchangeDependencies(
    val state: ForwardState,
    val drain: DrainState,
    val configurationAgeMillis: () -> Long,
    val codec: ExchangeCodec,
    val client: HttpClient,
    val placementClient: PlacementClient,
    val plainServerSelector: PlainServerSelector,
    val plainWaitPolicy: PlainWaitPolicy,
    val health: ServerHealth,
    val crashReports: CrashReports,
    val liveness: ServerLiveness,
    val reachability: ReachabilityMonitor,
    val recordUsage: (workspace: String) -> Unit,
    val retryBudgets: RetryBudgets,
    val reservationClient: ReservationClient,
    val reservationFreeMillis: () -> Long,
    val maximumResponseBytes: () -> Long,
    val responseBufferBytes: () -> Int,
    val thread: ForwardThread,
    val random: Random,
    val retryAfterPolicy: RetryAfterPolicy,
    val demand: DemandRecorder,
    val metrics: ForwardMetrics,
    val log: EventLog,
)
