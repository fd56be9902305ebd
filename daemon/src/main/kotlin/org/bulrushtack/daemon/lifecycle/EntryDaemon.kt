package org.bulrushtack.daemon.lifecycle

import io.grpc.Server
import org.bulrushtack.backend.HttpEngineClient
import org.bulrushtack.backend.HttpServerInspector
import org.bulrushtack.backend.HttpServiceClient
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.ControlLoop
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.daemon.ComponentLog
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.control.LogFollower
import org.bulrushtack.daemon.control.VmPoller
import org.bulrushtack.daemon.ingress.CallIngress
import org.bulrushtack.daemon.ingress.CompletionIngress
import org.bulrushtack.daemon.operator.TreeEditor
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.daemon.peer.PeerClient
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
    private val log = ComponentLog(component = "daemon")
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
    private val handlers = ActionHandlers(
        peers = PeerClient(connections = connections, control = control, clock = clock),
        runner = runner,
        completions = CompletionIngress(
            control = control,
            runner = runner,
            remote = remote,
            clock = clock,
            metrics = metrics,
        ),
        calls = CallIngress(
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

    /** Opens the ports and starts to follow the platform's log and its list of VMs. */
    fun start() {
        val executor = ActionExecutor(control = control, platformLog = platformLog, handlers = handlers)
        control.onAction = executor::execute
        openPorts()
        handlers.completions.start(timer)
        control.start()
        LogFollower(platformLog = platformLog, control = control, clock = clock, timer = timer).start()
        VmPoller(
            directory = KeyedVmDirectory(KeyedRecordStore(client = client, address = settings.platformAddress)),
            control = control,
            timer = timer,
        ).start()
        log.info { "name=${settings.name} http=${settings.httpListen.host}:$httpPort peer=$peerPort has started." }
    }

    /** Drains the daemon: stops accepting requests after a while, and returns when the running ones are finished. */
    fun drain() = Drain(
        control = control,
        httpServer = httpServer,
        clock = clock,
        maximumMillis = settings.drainMillis,
    ).run()

    /** Stops at once, without waiting for running requests. */
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
            handlers = handlers,
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
            handler = routes.router(),
        )
        peerServer = PeerService(control = control, runner = runner)
            .start(group = group, address = settings.peerListen)
    }
}
