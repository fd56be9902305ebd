package org.bulrushtack.forward.life

import io.grpc.Server
import org.bulrushtack.core.daemon.DaemonInfo
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.placers
import org.bulrushtack.forward.ForwardSettings
import org.bulrushtack.forward.log.LogField
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.http.HttpHandler
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpMessageResponse
import org.bulrushtack.http.HttpServer
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

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
    private val parts = ForwardParts(settings, platform, DaemonTable(self(settings, incarnation)), seed)
    private val state = parts.state
    private val log = parts.logs.of("life")
    private val ended = CountDownLatch(1)
    private var peerServer: Server? = null

    /** Opens the ports and begins to read the store. */
    fun start() {
        parts.registerGauges()
        listen(settings.frontListen, parts.front)
        listen(settings.readinessListen, QuestionHandler(parts.entry::readiness))
        listen(settings.directoryListen, QuestionHandler(parts.entry::addresses))
        val measures = { HttpMessageResponse(OK, TEXT, parts.metrics.scrape().toByteArray()) }
        listen(settings.metricsListen, QuestionHandler { measures() })
        peerServer = parts.coordination.start(parts.group, settings.peerListen)
        parts.thread.loop.execute {
            learnSeeds(settings)
            parts.registration.start()
        }
        every(TICK_MILLIS) { tick() }
        every(YOUNG_SYNC_MILLIS) { parts.syncWhenDue() }
        log.info(
            "The daemon has started.",
            LogField("name", settings.name),
            LogField("incarnation", state.daemons.self.incarnation),
            LogField("front", settings.frontListen),
            LogField("peer", settings.peerListen),
            LogField("store", settings.storeAddress),
        )
    }

    /** Begins the shutdown; the daemon goes on until its requests have ended or the grace is over. */
    fun drain() = parts.thread.loop.execute {
        if (!state.draining) {
            state.draining = true
            parts.drain.start(parts.thread.nowMillis())
            state.daemons.self = state.daemons.self.copy(ready = false, leaving = true)
            log.info("The daemon is leaving.", LogField("active", parts.front.activeCount))
            parts.sync.tick()
        }
    }

    /** Writes a line about the settings file. */
    fun noteSettings(sentence: String, fields: List<LogField>) = log.info(sentence, fields)

    /** Takes changed settings over; those that say where to listen count at the next start. */
    fun change(changed: ForwardSettings, reason: String) = parts.thread.loop.execute {
        val needsStart = parts.settings.change(changed)
        learnSeeds(changed)
        log.info(
            "The settings were read again.",
            LogField("reason", reason),
            LogField("changed", true),
            LogField("needs_start", needsStart),
        )
    }

    /** Whether the daemon has ended, after waiting for it for up to [millis]. */
    fun awaitEnd(millis: Long): Boolean = ended.await(millis, TimeUnit.MILLISECONDS)

    private fun tick() {
        val nowMillis = parts.thread.nowMillis()
        val self = state.daemons.self
        if (self.ready != state.isReady) {
            state.daemons.self = self.copy(ready = state.isReady)
            log.info("Readiness changed.", LogField("ready", state.isReady), LogField("draining", state.draining))
        }
        parts.follower.tick(reader = state.daemons.placers(nowMillis).firstOrNull()?.name == self.name)
        state.fleet.forgetGone(nowMillis)
        parts.logs.reportLeftOut()
        val idle = parts.front.activeCount == 0 && parts.drain.mayEnd(nowMillis)
        if ((idle || parts.drain.mustEnd(nowMillis)) && ended.count > 0) {
            log.info("The daemon has ended.", LogField("active", parts.front.activeCount))
            peerServer?.shutdown()
            parts.group.shutdownGracefully()
            ended.countDown()
        }
    }

    private fun learnSeeds(from: ForwardSettings) = from.seeds.forEach {
        state.daemons.learn(label = it, peerAddress = "$it:${settings.peerListen.port}")
    }

    private fun every(millis: Long, action: () -> Unit) {
        parts.thread.loop.scheduleAtFixedRate(action, 0, millis, TimeUnit.MILLISECONDS)
    }

    private fun listen(place: HostAndPort, handler: HttpHandler) {
        HttpServer.start(
            group = parts.group,
            host = place.host,
            port = place.port,
            limits = ::limits,
            handler = handler,
        )
    }

    private fun limits(): HttpLimits {
        val limits = state.routing?.configuration?.limits ?: return HttpLimits(memory = parts.bodyMemory)
        return HttpLimits(
            bodyBytes = limits.bodyBytes.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
            headerBytes = limits.headerBytes,
            requestMillis = limits.idleMillis,
            idleMillis = limits.idleMillis,
            memory = parts.bodyMemory,
        )
    }
}

private fun self(settings: ForwardSettings, incarnation: String) = DaemonInfo(
    name = settings.name,
    incarnation = incarnation,
    dataCentre = settings.dataCentre,
    peerAddress = settings.peerListen.toString(),
    frontAddress = settings.frontListen.toString(),
    rank = null,
    ready = false,
    leaving = false,
)

/** A fifth of the pause between two questions to the store, which is the shortest time that ticks measure. */
private const val TICK_MILLIS = 100L
private const val OK = 200
private const val TEXT = "text/plain; version=0.0.4"
