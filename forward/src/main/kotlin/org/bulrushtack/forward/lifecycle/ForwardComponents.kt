package org.bulrushtack.forward.lifecycle

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.DirectorySelection
import org.bulrushtack.core.daemon.StartupGracePeriod
import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.placement.ColdStartLimiter
import org.bulrushtack.core.placement.EqualColdStartShare
import org.bulrushtack.core.placement.PlacementLedger
import org.bulrushtack.core.placement.PlainLoads
import org.bulrushtack.core.placement.PlainServerSelector
import org.bulrushtack.core.placement.PlainWaitPolicy
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.core.quarantine.PromptQuarantine
import org.bulrushtack.core.store.OutageReadSchedule
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.core.store.readTurn
import org.bulrushtack.forward.DutySettings
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardSettings
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.SystemMonotonicClock
import org.bulrushtack.forward.budget.ClientReports
import org.bulrushtack.forward.budget.LiveBudgetLimits
import org.bulrushtack.forward.budget.ProcessResources
import org.bulrushtack.forward.budget.ResourceLimits
import org.bulrushtack.forward.duty.DutyComponents
import org.bulrushtack.forward.duty.DutyEndpoint
import org.bulrushtack.forward.duty.DutyEnvironment
import org.bulrushtack.forward.duty.HttpDutyAddress
import org.bulrushtack.forward.duty.LoadReporter
import org.bulrushtack.forward.duty.NoDemandRecorder
import org.bulrushtack.forward.duty.ScalingDuty
import org.bulrushtack.forward.exchange.DrainState
import org.bulrushtack.forward.exchange.ExchangeDependencies
import org.bulrushtack.forward.exchange.ForwardHandler
import org.bulrushtack.forward.exchange.HttpReservationClient
import org.bulrushtack.forward.exchange.ResponseBufferShare
import org.bulrushtack.forward.exchange.RetryBudgets
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.peer.CoordinationService
import org.bulrushtack.forward.peer.LagLog
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.forward.peer.PeerSync
import org.bulrushtack.forward.peer.PlainLoadSync
import org.bulrushtack.forward.placement.PlacementBroker
import org.bulrushtack.forward.placement.PlacementClient
import org.bulrushtack.forward.placement.PlacementKnowledge
import org.bulrushtack.forward.placement.ServicePressures
import org.bulrushtack.forward.quarantine.CrashRecordWriter
import org.bulrushtack.forward.quarantine.CrashReports
import org.bulrushtack.forward.quarantine.HttpServerChecker
import org.bulrushtack.forward.quarantine.ServerLiveness
import org.bulrushtack.forward.reachability.HttpConnectionProber
import org.bulrushtack.forward.reachability.ReachabilityMonitor
import org.bulrushtack.forward.store.ConfirmationLog
import org.bulrushtack.forward.store.ForwardState
import org.bulrushtack.forward.store.KnowledgeSources
import org.bulrushtack.forward.store.LapsedEntryPolicy
import org.bulrushtack.forward.store.PeerRecords
import org.bulrushtack.forward.store.ReaderRole
import org.bulrushtack.forward.store.RecentFailures
import org.bulrushtack.forward.store.StoreFollower
import org.bulrushtack.forward.store.StoreReplica
import org.bulrushtack.http.BodyMemory
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.budget.ResourceBudget
import kotlin.random.Random

/** Creates and connects the components of a forwarding daemon. */
internal class ForwardComponents(
    settings: ForwardSettings,
    platform: ForwardPlatform,
    daemons: DaemonTable,
    seed: Long,
    openBackendChannel: () -> NioSocketChannel,
    openPeerChannel: () -> NioSocketChannel,
) {
    private val clock: MonotonicClock = SystemMonotonicClock()
    private val random = Random(seed)
    val settings = LiveSettings(settings)
    val bodyMemory = BodyMemory(maximumBytes = settings.bodyMemoryBytes)

    /** The one network thread. */
    val group: EventLoopGroup = EventLoops.create(threads = 1)
    val logs = EventLogs(clock)
    val thread = ForwardThread(
        loop = group.next() as EventLoop,
        clock = clock,
        onError = { logs.forComponent("life").error("An action failed unexpectedly.", it) },
    )
    val metrics = ForwardMetrics()
    val state = ForwardState(
        daemons = daemons,
        startupGracePeriod = StartupGracePeriod(startedAtMillis = clock.nowMillis()),
        lapses = LapsedEntryPolicy(heartbeatMillis = settings.heartbeatMillis),
    )
    private val clientReports = ClientReports(metrics = metrics, log = logs.forComponent("clients"))
    private val resourceLimits = ResourceLimits(
        vm = settings.vm,
        clients = settings.clients,
        bodyBytes = settings.bodyMemoryBytes,
        process = ProcessResources.current(),
    ).limits()

    /** What the connections of this process hold and may hold. */
    val budget = ResourceBudget(limits = LiveBudgetLimits(resourceLimits, state)::current, clientReports::record)
    val reachability = ReachabilityMonitor(
        state = state,
        thread = thread,
        random = random,
        log = logs.forComponent("reachability"),
    )
    private val malformedResponses = MalformedResponseLog(logs.forComponent("responses"))
    private val client = HttpClient(
        group = group,
        connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS,
        channelFactory = { budget.openOutgoing(openBackendChannel()) },
        malformedResponses = malformedResponses,
        connectObserver = reachability,
    )

    /** The store is reached also when callers use up the sockets. */
    private val storeClient = HttpClient(
        group = group,
        connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS,
        channelFactory = { budget.countOutgoing(NioSocketChannel()) },
        malformedResponses = malformedResponses,
    )
    private val store = platform.store(client = storeClient, address = settings.storeAddress.toString())
    val crashReports = CrashReports(
        quarantine = PromptQuarantine(),
        writer = CrashRecordWriter(store = store, thread = thread, log = logs.forComponent("quarantine")),
        writerId = "${daemons.self.name}-${daemons.self.incarnation}",
        announcementDelayMillis = { random.nextLong(daemons.knownCount * ANNOUNCEMENT_MILLIS_PER_DAEMON) },
        thread = thread,
        log = logs.forComponent("quarantine"),
    )
    val replica = StoreReplica(
        state = state,
        decoder = platform.recordDecoder,
        peers = PeerRecords(daemons = daemons, log = logs.forComponent("peers")),
        crashReports = crashReports,
        clock = clock,
        log = logs.forComponent("knowledge"),
    )
    private val failures = RecentFailures(clock)
    private val sources = KnowledgeSources(daemons = daemons, failures = failures)
    private val lagLog = LagLog(replica = replica, sources = sources, log = logs.forComponent("peers"))

    /** What is logged when this daemon knows of changes too late. */
    val lateness = LatenessLogs(
        status = state.configuration,
        delays = ThreadDelayLog(intervalMillis = TICK_INTERVAL_MILLIS, log = logs.forComponent("life")),
        confirmations = ConfirmationLog(state.configuration, sources, logs.forComponent("knowledge")),
        lags = lagLog,
        clock = clock,
    )
    val follower = StoreFollower(
        store = store,
        replica = replica,
        role = ReaderRole(
            daemons = daemons,
            schedule = OutageReadSchedule(turn = { daemons.readTurn(clock.nowMillis()) }, random = random),
        ),
        thread = thread,
        metrics = metrics,
        log = logs.forComponent("store"),
    )
    private val scaling: ScalingDuty? = ScalingDuty.create(
        settings = settings.duties,
        codec = platform.dutyCodec,
        state = state,
        serversAgeMillis = { replica.ageMillis(StoreTopic.BACKEND_SERVERS) },
        random = random,
        metrics = metrics,
        log = logs.forComponent("scaling"),
    )
    val duties = settings.duties?.let { duties(it, platform, daemons) }
    private val retryAfterPolicy = RetryAfterPolicy(random)
    private val health = ServerHealth()
    private val placementKnowledge = PlacementKnowledge(state)
    val scheduler = Scheduler(
        fleet = state.fleet,
        ledger = PlacementLedger(),
        health = health,
        retryAfterPolicy = retryAfterPolicy,
        mayChoose = { service, nowMillis ->
            state.routing?.ranksRequests(service) == true && placementKnowledge.isComplete(nowMillis)
        },
        routing = { state.routing },
    )
    private val plainLoads = PlainLoads()
    private val plainServerSelector = PlainServerSelector(
        health = health,
        coldStartLimiter = ColdStartLimiter(
            share = EqualColdStartShare(self = daemons.self.peerAddress, daemons = { daemons.knownAddresses }),
        ),
        random = random,
        loads = plainLoads,
    )
    private val pressures = ServicePressures(metrics = metrics, log = logs.forComponent("placement"))
    private val broker = PlacementBroker(scheduler = scheduler, thread = thread, pressures = pressures)
    private val connections = PeerConnections(group, openChannel = { budget.countOutgoing(openPeerChannel()) })
    val sync = PeerSync(
        daemons = daemons,
        replica = replica,
        broker = broker,
        connections = connections,
        thread = thread,
        log = logs.forComponent("peers"),
    ).also { it.trueTime = duties?.trueTime }
    val loadReporter = LoadReporter(
        daemons = daemons,
        contributions = listOfNotNull(scaling?.contribution) + duties?.contributions.orEmpty(),
        send = connections::reportLoad,
        thread = thread,
        log = logs.forComponent("duties"),
    )
    val coordination = CoordinationService(
        sync = sync,
        broker = broker,
        loadReporter = loadReporter,
        thread = thread,
        budget = budget,
    )
    val registration = Registration(
        store = store,
        replica = replica,
        state = state,
        thread = thread,
        log = logs.forComponent("life"),
        random = random,
    )
    val drain = DrainState(graceMillis = { this.settings.current.graceMillis })
    val directory = DirectoryRequests(
        state = state,
        codec = platform.directoryCodec,
        keepMillis = { this.settings.current.directoryKeepMillis },
        selection = DirectorySelection(random),
        clock = clock,
    )
    private val dependencies = ExchangeDependencies(
        state = state,
        drain = drain,
        configurationAgeMillis = { replica.appliedAgeMillis(StoreTopic.OPERATOR) },
        codec = platform.exchangeCodec,
        client = client,
        placementClient = PlacementClient(
            broker = broker,
            state = state,
            connections = connections,
            health = health,
            thread = thread,
            log = logs.forComponent("placement"),
        ),
        plainServerSelector = plainServerSelector,
        plainWaitPolicy = PlainWaitPolicy(random),
        health = health,
        crashReports = crashReports,
        liveness = ServerLiveness(
            checker = HttpServerChecker(codec = platform.exchangeCodec, client = client, thread = thread),
            fleet = state.fleet,
            isConnected = {
                reachability.trustsFailures && replica.ageMillis(StoreTopic.BACKEND_SERVERS) < CONNECTED_AGE_MILLIS
            },
            thread = thread,
            log = logs.forComponent("quarantine"),
        ),
        reachability = reachability,
        recordUsage = { workspace -> duties?.recordUsage(workspace) },
        retryBudgets = RetryBudgets(
            ratio = { this.settings.current.retryRatio },
            slack = { this.settings.current.retrySlack },
            daemonCount = { daemons.knownCount },
        ),
        reservationClient = HttpReservationClient(codec = platform.exchangeCodec, client = client),
        reservationFreeMillis = { this.settings.current.reservationFreeMillis },
        maximumResponseBytes = { this.settings.current.responseBytes },
        responseBufferBytes = ::responseBufferBytes,
        thread = thread,
        random = random,
        retryAfterPolicy = retryAfterPolicy,
        demand = scaling?.contribution ?: NoDemandRecorder,
        metrics = metrics,
        log = logs.forComponent("front"),
    )
    val front = ForwardHandler(dependencies)
    private var syncTicks = 0L

    init {
        replica.onRestored = ::onRestored
        follower.onRead = sync::passOn
        follower.onFailure = { failures.recordPoll(it.reason) }
        sync.onFailure = { address, failure -> failures.recordSync(address, failure.message) }
        sync.lagLog = lagLog
        follower.onReadability = sync::tellReadability
        sync.onReadability = follower::tick
        sync.onUnheard = follower::readUnheard
        reachability.prober = HttpConnectionProber(client = client, thread = thread)
        reachability.onChanged = ::onReachabilityChanged
        sync.plainLoads = PlainLoadSync(loads = plainLoads, own = { plainServerSelector.inFlight }, clock = clock)
    }

    private fun duties(settings: DutySettings, platform: ForwardPlatform, daemons: DaemonTable): DutyComponents {
        val environment = DutyEnvironment(
            thread = thread,
            timeOfDayMillis = System::currentTimeMillis,
            random = random,
            log = logs.forComponent("duties"),
        )
        val codec = platform.dutyCodec
        val address = HttpDutyAddress(
            client = storeClient,
            settings = settings,
            codec = codec,
            holder = daemons.self.name,
            environment = environment,
        )
        return DutyComponents(
            settings = settings,
            daemons = daemons,
            store = store,
            endpoint = DutyEndpoint(address, codec),
            otherTasks = listOfNotNull(scaling?.task),
            environment = environment,
        )
    }

    private fun onRestored(topic: StoreTopic) {
        if (topic == StoreTopic.OPERATOR) registration.checkAfterRestore()
        if (topic == StoreTopic.CRASHES) crashReports.writeAgain()
    }

    private fun onReachabilityChanged() {
        announceReadiness()
        sync.tick()
        if (state.isCutOff) front.endWaiting()
    }

    /** Tells the other daemons whether this one is ready. */
    fun announceReadiness() {
        val self = state.daemons.self
        if (self.ready == state.isReady) return
        state.daemons.self = self.copy(ready = state.isReady)
        logs.forComponent("life")
            .info("Readiness changed.", LogField("ready", state.isReady), LogField("draining", state.draining))
    }

    private fun responseBufferBytes(): Int =
        ResponseBufferShare.bytes(front.activeCount, heapBytes = Runtime.getRuntime().maxMemory())

    /** Ends connections without progress, and reports what was done to clients. */
    fun reviewClients() {
        budget.review()
        clientReports.write(budget)
    }

    /** Syncs with peers when due; more often during the startup grace period, to learn the placement leader sooner. */
    fun syncWhenDue() {
        syncTicks += 1
        measurePressures(clock.nowMillis())
        if (syncTicks % STARTUP_SYNC_FACTOR == 0L || !state.startupGracePeriod.isOver(clock.nowMillis())) sync.tick()
    }

    private fun measurePressures(nowMillis: Long) {
        placementKnowledge.tick(nowMillis)
        if (placementKnowledge.isLeader) {
            pressures.merge(scheduler.pressureMeter.measure(nowMillis, source = state.daemons.self.name), nowMillis)
        }
        pressures.tick(nowMillis)
    }

    /** Registers the gauges that are read at each scrape. */
    fun registerGauges() {
        metrics.gauge("bulrushtack.forward.active") { front.activeCount }
        metrics.gauge("bulrushtack.forward.body.bytes") { bodyMemory.reservedBytes }
        clientReports.registerGauges(budget)
        metrics.gauge("bulrushtack.forward.waiting") { scheduler.waiting }
        metrics.gauge("bulrushtack.forward.quarantined.groups") { crashReports.quarantinedGroups }
        metrics.gauge("bulrushtack.forward.store.failed.tries") { follower.failures }
        metrics.gauge("bulrushtack.forward.plain.calls") { plainServerSelector.inFlight.values.sum() }
        metrics.gauge("bulrushtack.forward.plain.shared") { if (plainLoads.isFresh(clock.nowMillis())) 1 else 0 }
        metrics.gauge("bulrushtack.forward.vm.pressure") { state.daemons.self.pressure }
        metrics.gauge("bulrushtack.forward.servers") { state.fleet.size }
        metrics.gauge("bulrushtack.forward.servers.reached") { if (state.daemons.self.reachesServers) 1 else 0 }
        lateness.registerGauges(metrics)
        duties?.registerGauges(metrics)
        StoreTopic.entries.filter { it.isReplicated }.forEach { topic ->
            val name = "bulrushtack.forward.knowledge.age.${topic.name.lowercase()}"
            metrics.gauge(name) { replica.ageMillis(topic) }
        }
    }
}

/** Far above a round trip; a slower connection has met a full queue or a dead machine. */
private const val CONNECT_TIMEOUT_MILLIS = 500

/** Two syncs and one read of the store fit into the time in which a change has to reach every daemon. */
private const val SYNC_INTERVAL_MILLIS = 400L
private const val STARTUP_SYNC_FACTOR = 2L

/** A replica that is older is not refreshed any more, by the store or by other daemons. */
private const val CONNECTED_AGE_MILLIS = 1_500L

/** Spreads what several daemons announce at the same time, so that the first can spare the others. */
private const val ANNOUNCEMENT_MILLIS_PER_DAEMON = 10L

/** The interval between syncs during the startup grace period. */
internal const val STARTUP_SYNC_INTERVAL_MILLIS = SYNC_INTERVAL_MILLIS / STARTUP_SYNC_FACTOR
