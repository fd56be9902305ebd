package org.bulrushtack.forward.lifecycle

import io.grpc.Server
import io.netty.channel.socket.nio.NioSocketChannel
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.forward.ForwardSettings
import org.bulrushtack.forward.duty.LoadReporter
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpMessageRequest
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.HttpServer
import org.bulrushtack.http.budget.AcceptGate
import org.bulrushtack.http.budget.PortRole
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * A daemon that forwards callers' requests on the platform. One network thread runs all of it, so that its state needs
 * no locks.
 *
 * @param openBackendChannel creates the channel of each connection to a backend server
 * @param openPeerChannel creates the channel of each connection to another daemon
 */
class ForwardingDaemon(
    private val settings: ForwardSettings,
    platform: ForwardPlatform,
    incarnation: String,
    seed: Long,
    openBackendChannel: () -> NioSocketChannel = { NioSocketChannel() },
    openPeerChannel: () -> NioSocketChannel = { NioSocketChannel() },
) {
    private val components = ForwardComponents(
        settings = settings,
        platform = platform,
        daemons = DaemonTable(self(settings, incarnation)),
        seed = seed,
        openBackendChannel = openBackendChannel,
        openPeerChannel = openPeerChannel,
    )
    private val state = components.state
    private val log = components.logs.forComponent("life")
    private val terminated = CountDownLatch(1)
    private val pressure = PressureReports(
        daemons = state.daemons,
        intervalMillis = TICK_INTERVAL_MILLIS,
        memoryShare = { components.bodyMemory.reservedBytes.toDouble() / maxOf(1, settings.bodyMemoryBytes) },
        log = log,
    )
    private var peerServer: Server? = null

    /** Opens the ports and starts to read the store. */
    fun start() {
        components.registerGauges()
        val scrape = { HttpMessageResponse(STATUS_OK, METRICS_CONTENT_TYPE, components.metrics.scrape().toByteArray()) }
        val servers = listOf(
            listen(settings.frontListen, components.front, PortRole.CALLERS),
            listen(settings.readinessListen, immediate(components.directory::readiness), PortRole.READINESS),
            listen(settings.directoryListen, immediate(components.directory::addresses), PortRole.DIRECTORY),
            listen(settings.metricsListen, immediate { scrape() }, PortRole.METRICS),
        )
        val exit = ProcessExit(components.drain, components.front, servers, components.thread, log, ::terminate)
        peerServer = components.coordination.start(components.group, settings.peerListen)
        components.thread.execute {
            addSeeds(settings)
            components.registration.start()
        }
        components.thread.repeat(TICK_INTERVAL_MILLIS) { tick() }
        components.thread.repeat(TICK_INTERVAL_MILLIS) { if (state.draining) components.front.endUnfinishable() }
        components.thread.repeat(TICK_INTERVAL_MILLIS) { exit.startWhenDue() }
        components.thread.repeat(REVIEW_INTERVAL_MILLIS) { components.reviewClients() }
        components.thread.repeat(STARTUP_SYNC_INTERVAL_MILLIS) { components.syncWhenDue() }
        components.thread.repeat(LoadReporter.INTERVAL_MILLIS) { components.loadReporter.tick() }
        log.info(
            "The daemon has started.",
            LogField("name", settings.name),
            LogField("incarnation", state.daemons.self.incarnation),
            LogField("front", settings.frontListen),
            LogField("peer", settings.peerListen),
            LogField("store", settings.storeAddress),
        )
    }

    /** Starts the shutdown; the daemon runs until its requests have finished or the grace period is over. */
    fun drain() = components.thread.execute {
        if (!state.draining) {
            state.draining = true
            components.drain.start(components.thread.nowMillis())
            state.daemons.self = state.daemons.self.copy(ready = false, leaving = true)
            log.info("The daemon is leaving.", LogField("active", components.front.activeCount))
            components.sync.tick()
        }
    }

    /** Logs a line about the settings file. */
    fun logSettings(sentence: String, fields: List<LogField>) = log.info(sentence, fields)

    /** Applies changed settings; listen addresses take effect at the next start. */
    fun applySettings(changed: ForwardSettings, reason: String) = components.thread.execute {
        val needsStart = components.settings.update(changed)
        addSeeds(changed)
        log.info(
            "The settings were read again.",
            LogField("reason", reason),
            LogField("changed", true),
            LogField("needs_start", needsStart),
        )
    }

    /** Waits up to [millis] for the daemon to shut down and returns whether it has. */
    fun awaitTermination(millis: Long): Boolean = terminated.await(millis, TimeUnit.MILLISECONDS)

    private fun tick() {
        val nowMillis = components.thread.nowMillis()
        components.lateness.tick(nowMillis)
        components.reachability.tick()
        state.silence.tick(nowMillis)
        components.announceReadiness()
        pressure.tick(nowMillis)
        components.follower.tick()
        components.crashReports.tick(components.follower.isReader)
        components.thread.guard { components.duties?.tick(state.startupGracePeriod.isOver(nowMillis)) }
        state.fleet.removeExpired(nowMillis)
        components.logs.reportSuppressed()
    }

    private fun terminate() {
        peerServer?.shutdown()
        components.group.shutdownGracefully()
        terminated.countDown()
    }

    private fun addSeeds(from: ForwardSettings) = from.seeds.forEach {
        state.daemons.addPeer(label = it, peerAddress = "$it:${settings.peerListen.port}")
    }

    private fun listen(address: HostAndPort, handler: HttpHandler, role: PortRole): HttpServer = HttpServer.listen(
        group = components.group,
        address = address,
        limits = ::limits,
        handler = handler,
        gate = AcceptGate(components.budget, role),
    )

    private fun limits(): HttpLimits {
        val limits = state.routing?.configuration?.limits ?: return HttpLimits(memory = components.bodyMemory)
        return HttpLimits(
            bodyBytes = limits.bodyBytes.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
            headerBytes = limits.headerBytes,
            requestMillis = limits.idleMillis,
            idleMillis = limits.idleMillis,
            memory = components.bodyMemory,
        )
    }
}

private fun immediate(respond: (HttpMessageRequest) -> HttpMessageResponse?) = ImmediateResponseHandler(respond)

private fun self(settings: ForwardSettings, incarnation: String) = DaemonInfo(
    name = settings.name,
    incarnation = incarnation,
    dataCentre = settings.dataCentre,
    peerAddress = settings.peerListen.toString(),
    frontAddress = settings.frontListen.toString(),
    rank = null,
    ready = false,
    leaving = false,
    capacity = settings.vm.processorShare,
    linkCapacity = settings.vm.linkKilobits,
)

/** A fifth of the interval between two reads of the store, the shortest time that ticks measure. */
internal const val TICK_INTERVAL_MILLIS = 100L

/** A quarter of the time that callers wait for a new connection. */
private const val REVIEW_INTERVAL_MILLIS = 250L
private const val STATUS_OK = 200
private const val METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
