package org.bulrushtack.forward.life

import io.grpc.Server
import io.netty.channel.EventLoop
import org.bulrushtack.core.control.MonotonicClock
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.knowledge.StoreTopic
import org.bulrushtack.core.placement.ColdGuard
import org.bulrushtack.core.placement.PlacementLedger
import org.bulrushtack.core.placement.PlainServerChoice
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardSettings
import org.bulrushtack.forward.exchange.DrainState
import org.bulrushtack.forward.exchange.ExchangeTools
import org.bulrushtack.forward.exchange.ForwardHandler
import org.bulrushtack.forward.exchange.RetryBudgets
import org.bulrushtack.forward.knowledge.ForwardState
import org.bulrushtack.forward.knowledge.KnowledgeBase
import org.bulrushtack.forward.knowledge.PeerRecords
import org.bulrushtack.forward.knowledge.StoreFollower
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.forward.peer.CoordinationService
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.forward.peer.PeerSync
import org.bulrushtack.forward.placement.PlaceFinder
import org.bulrushtack.forward.placement.PlacementBroker
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.HttpServer
import org.bulrushtack.http.SocketPlace
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * A daemon that forwards callers' requests on the platform. One network thread runs all of it, so that its state needs
 * no locks.
 */
class ForwardingDaemon(
    private val settings: ForwardSettings,
    platform: ForwardPlatform,
    incarnation: String,
    seed: Long,
) {
    private val clock: MonotonicClock = SystemClocks.monotonic
    private val group = EventLoops.create(threads = 1)
    private val loop: EventLoop = group.next() as EventLoop
    private val logs = EventLogs(clock)
    private val lifeLog = logs.of("life")
    private val metrics = ForwardMetrics()
    private val ended = CountDownLatch(1)
    private val random = Random(seed)
    private val state = ForwardState(DaemonTable(self(incarnation)))
    private val knowledge = KnowledgeBase(
        state = state,
        decoder = platform.facts,
        peers = PeerRecords(daemons = state.daemons, log = logs.of("peers")),
        clock = clock,
        log = logs.of("knowledge"),
    )
    private val client = HttpClient(group = group, connectTimeoutMillis = CONNECT_MILLIS)
    private val store = platform.store(client = client, address = settings.storeAddress.toString())
    private val follower = StoreFollower(
        store = store,
        knowledge = knowledge,
        clock = clock,
        thread = loop,
        metrics = metrics,
        log = logs.of("store"),
    )
    private val health = ServerHealth()
    private val scheduler = Scheduler(
        fleet = state.fleet,
        ledger = PlacementLedger(),
        health = health,
        routing = { state.routing },
    )
    private val broker = PlacementBroker(scheduler = scheduler, clock = clock, loop = loop)
    private val connections = PeerConnections(group)
    private val sync = PeerSync(
        daemons = state.daemons,
        knowledge = knowledge,
        broker = broker,
        connections = connections,
        clock = clock,
        thread = loop,
        log = logs.of("peers"),
    )
    private val registration = Registration(
        store = store,
        follower = follower,
        daemons = state.daemons,
        loop = loop,
        log = lifeLog,
    )
    private val drain = DrainState(graceMillis = settings.graceMillis)
    private val front = ForwardHandler(tools = tools(platform), drain = drain)
    private val entry = EntryQuestions(
        state = state,
        codec = platform.entries,
        keepMillis = settings.directoryKeepMillis,
        clock = clock,
    )
    private var peerServer: Server? = null

    /** Opens the ports and begins to read the store. */
    fun start() {
        gauges()
        listen(settings.frontListen, front)
        listen(settings.readinessListen, QuestionHandler(entry::readiness))
        listen(settings.directoryListen, QuestionHandler(entry::addresses))
        listen(settings.metricsListen, QuestionHandler { HttpMessageResponse(OK, TEXT, metrics.scrape().toByteArray()) })
        peerServer = CoordinationService(sync, broker, clock).start(group, settings.peerListen)
        loop.execute {
            settings.seeds.forEach { state.daemons.learn(label = it, peerAddress = "$it:${settings.peerListen.port}") }
            registration.start()
        }
        loop.scheduleAtFixedRate({ tick() }, 0, TICK_MILLIS, TimeUnit.MILLISECONDS)
        loop.scheduleAtFixedRate({ sync.tick() }, FIRST_SYNC_MILLIS, SYNC_MILLIS, TimeUnit.MILLISECONDS)
        lifeLog.info(
            "The daemon has started.",
            LogField("name", settings.name),
            LogField("incarnation", state.daemons.self.incarnation),
            LogField("front", settings.frontListen),
            LogField("peer", settings.peerListen),
            LogField("store", settings.storeAddress),
        )
    }

    /** Begins the shutdown; the daemon goes on until its requests have ended or the grace is over. */
    fun drain() = loop.execute {
        if (!state.draining) {
            state.draining = true
            drain.start(clock.nowMillis())
            state.daemons.self = state.daemons.self.copy(ready = false, leaving = true)
            lifeLog.info("The daemon is leaving.", LogField("active", front.activeCount))
            sync.tick()
        }
    }

    /** Notes that the settings file has changed. */
    fun noteSettings(sentence: String, vararg fields: LogField) = loop.execute { lifeLog.info(sentence, *fields) }

    /** Whether the daemon has ended, after waiting for it for up to [millis]. */
    fun awaitEnd(millis: Long): Boolean = ended.await(millis, TimeUnit.MILLISECONDS)

    private fun tick() {
        val nowMillis = clock.nowMillis()
        val self = state.daemons.self
        if (self.ready != state.isReady) {
            state.daemons.self = self.copy(ready = state.isReady)
            lifeLog.info("Readiness changed.", LogField("ready", state.isReady), LogField("draining", state.draining))
        }
        follower.tick(reader = state.daemons.placers(nowMillis).firstOrNull()?.name == self.name)
        state.fleet.forgetGone(nowMillis)
        logs.reportLeftOut()
        val idle = front.activeCount == 0 && drain.mayEnd(nowMillis)
        if (idle || drain.mustEnd(nowMillis)) end()
    }

    private fun end() {
        if (ended.count == 0L) return
        lifeLog.info("The daemon has ended.", LogField("active", front.activeCount))
        peerServer?.shutdown()
        ended.countDown()
    }

    private fun listen(place: SocketPlace, handler: HttpHandler) {
        HttpServer.start(group = group, host = place.host, port = place.port, limits = ::limits, handler = handler)
    }

    private fun limits(): HttpLimits {
        val limits = state.routing?.configuration?.limits ?: return HttpLimits()
        return HttpLimits(
            bodyBytes = limits.bodyBytes.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
            headerBytes = limits.headerBytes,
            requestMillis = limits.idleMillis,
            idleMillis = limits.idleMillis,
        )
    }

    private fun gauges() {
        metrics.gauge("bulrushtack.forward.active") { front.activeCount }
        metrics.gauge("bulrushtack.forward.waiting") { scheduler.waiting }
        metrics.gauge("bulrushtack.forward.servers") { state.fleet.size }
        metrics.gauge("bulrushtack.forward.configuration.version") { state.routing?.configuration?.version ?: -1 }
        StoreTopic.entries.forEach { topic ->
            metrics.gauge("bulrushtack.forward.knowledge.age.${topic.name.lowercase()}") { knowledge.ageMillis(topic) }
        }
    }

    private fun tools(platform: ForwardPlatform) = ExchangeTools(
        state = state,
        codec = platform.exchanges,
        client = client,
        places = PlaceFinder(
            broker = broker,
            daemons = state.daemons,
            connections = connections,
            health = health,
            clock = clock,
            loop = loop,
            log = logs.of("placement"),
        ),
        plainChoice = PlainServerChoice(health = health, coldGuard = ColdGuard(), random = random),
        health = health,
        budgets = RetryBudgets(
            ratio = settings.retryRatio,
            slack = settings.retrySlack,
            daemons = { state.daemons.live(clock.nowMillis()).size + 1 },
        ),
        clock = clock,
        loop = loop,
        random = random,
        metrics = metrics,
        log = logs.of("front"),
    )

    private fun self(incarnation: String) = DaemonInfo(
        name = settings.name,
        incarnation = incarnation,
        dataCentre = settings.dataCentre,
        peerAddress = settings.peerListen.toString(),
        frontAddress = settings.frontListen.toString(),
        rank = null,
        ready = false,
        leaving = false,
    )
}

/** Far above a round trip; a connection that takes longer meets a full queue or a dead machine. */
private const val CONNECT_MILLIS = 500
private const val TICK_MILLIS = 100L
private const val FIRST_SYNC_MILLIS = 50L

/** Two of these and one read of the store fit into the time that a change may take. */
private const val SYNC_MILLIS = 400L
private const val OK = 200
private const val TEXT = "text/plain; version=0.0.4"
