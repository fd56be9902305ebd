package org.bulrushtack.daemon.lifecycle

import io.grpc.Server
import org.bulrushtack.backend.HttpEngineClient
import org.bulrushtack.backend.HttpServerInspector
import org.bulrushtack.backend.HttpServiceClient
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.ControlLoop
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.daemon.PartLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.control.LogFollower
import org.bulrushtack.daemon.control.VmPoller
import org.bulrushtack.daemon.ingress.CallEdge
import org.bulrushtack.daemon.ingress.CompletionEdge
import org.bulrushtack.daemon.operator.TreeEditor
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.PeerLink
import org.bulrushtack.daemon.peer.PeerService
import org.bulrushtack.daemon.peer.RemoteOwner
import org.bulrushtack.daemon.settings.ProcessSettings
import org.bulrushtack.forward.SystemMonotonicClock
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.HttpClient
import org.bulrushtack.http.HttpLimits
import org.bulrushtack.http.HttpServer
import org.bulrushtack.platform.KeyedVmDirectory
import org.bulrushtack.platform.StorePlatformLog
import org.bulrushtack.platform.store.KeyedRecordStore
import java.util.concurrent.Executors
import kotlin.random.Random

/** Creates and connects the components of an entry daemon, and starts and stops them. */
class EntryDaemon(
    private val settings: ProcessSettings,
    identity: MemberIdentity,
    seed: Long,
) {
    private val log = PartLog(part = "daemon")
    private val clock = SystemMonotonicClock()
    private val group = EventLoops.create(settings.networkThreads)
    private val timer = Executors.newScheduledThreadPool(1, DaemonThreadFactory(name = "timer"))
    private val client = HttpClient(group)
    private val blackboard = Blackboard(identity = identity)
    private val control = ControlThread(
        blackboard = blackboard,
        loop = ControlLoop(blackboard = blackboard, random = Random(seed)),
        clock = clock,
    )
    private val metrics = DaemonMetrics()
    private val connections = PeerConnections(group)
    private val platformLog = StorePlatformLog(client = client, address = settings.platformAddress)
    private val runner = WorkRunner(
        identity = identity,
        control = control,
        clock = clock,
        engines = HttpEngineClient(client),
        services = HttpServiceClient(client),
        inspector = HttpServerInspector(client),
    )
    private val remote = RemoteOwner(connections = connections, timer = timer)
    private val edges = DaemonEdges(
        peers = PeerLink(connections = connections, control = control, clock = clock),
        runner = runner,
        completions = CompletionEdge(
            control = control,
            runner = runner,
            remote = remote,
            clock = clock,
            metrics = metrics,
        ),
        calls = CallEdge(
            control = control,
            runner = runner,
            remote = remote,
            clock = clock,
            metrics = metrics,
        ),
        editor = TreeEditor(control = control, clock = clock, timer = timer),
    )
    private lateinit var httpServer: HttpServer
    private lateinit var peerServer: Server

    /** The port for callers and operators. */
    val httpPort: Int get() = httpServer.port

    /** The port for other daemons. */
    val peerPort: Int get() = peerServer.port

    /** Opens the ports and starts following the log. */
    fun start() {
        val executor = ActionExecutor(control = control, platformLog = platformLog, edges = edges)
        control.onAction = executor::execute
        openPorts()
        edges.completions.start(timer)
        control.start()
        LogFollower(platformLog = platformLog, control = control, clock = clock, timer = timer).start()
        VmPoller(
            directory = KeyedVmDirectory(KeyedRecordStore(client = client, address = settings.platformAddress)),
            control = control,
            timer = timer,
        ).start()
        log.info { "name=${settings.name} http=${settings.httpListen.host}:$httpPort peer=$peerPort has started." }
    }

    /** Leaves the system: takes no new requests after a while, and ends when those that run have ended. */
    fun drain() = Drain(
        control = control,
        httpServer = httpServer,
        clock = clock,
        maximumMillis = settings.drainMillis,
    ).run()

    /** Stops at once. */
    fun stop() {
        peerServer.shutdownNow()
        connections.close()
        control.stop()
        timer.shutdownNow()
        group.shutdownGracefully()
        log.info { "name=${settings.name} has stopped." }
    }

    private fun openPorts() {
        val routes = RouteTable(
            settings = settings,
            control = control,
            clock = clock,
            metrics = metrics,
            edges = edges,
        )
        val limits = HttpLimits(
            bodyBytes = settings.bodyBytes,
            headerBytes = settings.headerBytes,
            requestMillis = settings.requestMillis,
        )
        httpServer = HttpServer.start(
            group = group,
            host = settings.httpListen.host,
            port = settings.httpListen.port,
            limits = { limits },
            handler = routes.front(),
        )
        peerServer = PeerService(control = control, runner = runner).start(group = group, place = settings.peerListen)
    }
}
