package org.bulrushtack.forward.peer

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import org.bulrushtack.forward.testing.HoldingHandler
import org.bulrushtack.forward.testing.SilencingHandler
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.FreePorts
import org.bulrushtack.protocol.CoordinationMethods
import org.bulrushtack.protocol.DaemonRecord
import org.bulrushtack.protocol.LoadReport
import org.bulrushtack.protocol.LoadReportReply
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ExecutionException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

class PeerConnectionsTest : AnnotationSpec() {
    private var port = 0
    private var handshakeMillis = 0L
    private val silencers = CopyOnWriteArrayList<SilencingHandler>()
    private lateinit var group: EventLoopGroup
    private lateinit var testSubject: PeerConnections

    @BeforeEach
    fun open() {
        port = FreePorts.find(count = 1).single()
        group = EventLoops.create(threads = 1)
        silencers.clear()
        handshakeMillis = 0
        testSubject = PeerConnections(group, openChannel = {
            val silencer = SilencingHandler().also { silencers.add(it) }
            NioSocketChannel().apply { pipeline().addFirst(silencer, HoldingHandler(handshakeMillis)) }
        })
    }

    @AfterEach
    fun close() {
        testSubject.close()
        group.shutdownGracefully()
    }

    // Guards against daemons that stay apart for seconds after one of them was away, while gRPC waits to connect again.
    @Test
    fun `a daemon that was away is reached with the first sync after its return`() {
        val away = TimeSource.Monotonic.markNow() + AWAY
        while (away.hasNotPassedNow()) {
            sync()
            Thread.sleep(PAUSE_MILLIS)
        }
        val daemon = startDaemon()
        val returned = TimeSource.Monotonic.markNow()

        awaitSync()

        val tookMillis = returned.elapsedNow().inWholeMilliseconds
        daemon.shutdownNow()
        tookMillis shouldBeLessThan LIMIT_MILLIS
    }

    // Guards against a daemon that waits for gRPC's keep-alive, 13 s, before it leaves a connection over which nothing
    // arrives any more.
    @Test
    fun `a daemon to which the connection has fallen silent is reached over a new one`() {
        val daemon = startDaemon()
        awaitSync()
        silencers.forEach { it.isSilent = true }
        val silentFrom = TimeSource.Monotonic.markNow()

        awaitSync()

        val tookMillis = silentFrom.elapsedNow().inWholeMilliseconds
        daemon.shutdownNow()
        tookMillis shouldBeLessThan LIMIT_MILLIS
    }

    // Guards against reports to a daemon with which this one does not sync that are lost until gRPC's keep-alive.
    @Test
    fun `a report of load reaches a daemon although the connection has fallen silent`() {
        val daemon = startDaemon()
        awaitSync()
        silencers.forEach { it.isSilent = true }
        val silentFrom = TimeSource.Monotonic.markNow()

        val isReported = (1..MAXIMUM_SYNCS).any { isReported() }

        val tookMillis = silentFrom.elapsedNow().inWholeMilliseconds
        daemon.shutdownNow()
        isReported shouldBe true
        tookMillis shouldBeLessThan LIMIT_MILLIS
    }

    // Guards against a daemon that waits for ever for the handshake of a connection that was lost right after it was
    // accepted: gRPC has no time limit for it.
    @Test
    fun `a daemon is reached over a new connection where the handshake of the last one is never answered`() {
        val unanswered = ServerSocket(port, 1, InetAddress.getLoopbackAddress())
        repeat(HANDSHAKE_SYNCS) { sync().also { Thread.sleep(PAUSE_MILLIS) } }
        val lost = unanswered.accept()
        unanswered.close()
        val daemon = startDaemon()
        val returned = TimeSource.Monotonic.markNow()

        awaitSync()

        val tookMillis = returned.elapsedNow().inWholeMilliseconds
        daemon.shutdownNow()
        lost.close()
        tookMillis shouldBeLessThan LIMIT_MILLIS
    }

    // Guards against connections to slow machines that are replaced before each handshake is complete.
    @Test
    fun `a daemon is reached whose handshakes take longer than the first limit`() {
        handshakeMillis = SLOW_HANDSHAKE_MILLIS
        val daemon = startDaemon()

        awaitSync()

        daemon.shutdownNow()
    }

    // Guards against a daemon that is taken for unresponsive as a report found its connection silent before a sync did.
    @Test
    fun `a sync learns that the connection is silent although another call has replaced it`() {
        val daemon = startDaemon()
        awaitSync()
        // gRPC acknowledges what it has received a little later.
        Thread.sleep(PAUSE_MILLIS)
        silencers.forEach { it.isSilent = true }

        val sync = testSubject.sync("127.0.0.1:$port", SyncRequest.getDefaultInstance(), TIMEOUT_MILLIS)
        testSubject.unary(
            address = "127.0.0.1:$port",
            method = CoordinationMethods.SYNC,
            request = SyncRequest.getDefaultInstance(),
            timeoutMillis = TIMEOUT_MILLIS / 2,
        )

        shouldThrow<ExecutionException> { sync.get() }.cause.shouldBeInstanceOf<SilentConnectionException>()
        daemon.shutdownNow()
    }

    // Guards against connections that are replaced, with all calls on them, because the peer answers one call late.
    @Test
    fun `a connection over which other replies arrive is kept`() {
        val daemon = startDaemon(isAnswering = { it.sender.name != UNANSWERED })
        awaitSync()

        val late = testSubject.sync("127.0.0.1:$port", UNANSWERED_REQUEST, TIMEOUT_MILLIS)
        while (!late.isDone) sync()

        late.isCompletedExceptionally shouldBe true
        silencers.size shouldBe 1
        daemon.shutdownNow()
    }

    private fun awaitSync() {
        val isReached = (1..MAXIMUM_SYNCS).any { sync().also { reached -> if (!reached) Thread.sleep(PAUSE_MILLIS) } }
        isReached shouldBe true
    }

    private fun isReported(): Boolean =
        runCatching { testSubject.reportLoad("127.0.0.1:$port", LoadReport.getDefaultInstance()).get() }.isSuccess

    private fun sync(): Boolean = runCatching {
        testSubject.sync("127.0.0.1:$port", SyncRequest.getDefaultInstance(), TIMEOUT_MILLIS).get()
    }.isSuccess

    private fun startDaemon(isAnswering: (SyncRequest) -> Boolean = { true }): Server {
        val sync = ServerCalls.asyncUnaryCall<SyncRequest, SyncReply> { request, observer ->
            if (isAnswering(request)) {
                observer.onNext(SyncReply.getDefaultInstance())
                observer.onCompleted()
            }
        }
        val report = ServerCalls.asyncUnaryCall<LoadReport, LoadReportReply> { _, observer ->
            observer.onNext(LoadReportReply.getDefaultInstance())
            observer.onCompleted()
        }
        val service = ServerServiceDefinition.builder(CoordinationMethods.SERVICE_NAME)
            .addMethod(CoordinationMethods.SYNC, sync)
            .addMethod(CoordinationMethods.REPORT_LOAD, report)
            .build()
        return NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", port)).addService(service).build().start()
    }

    private companion object {
        const val UNANSWERED = "unanswered"
        val UNANSWERED_REQUEST: SyncRequest =
            SyncRequest.newBuilder().setSender(DaemonRecord.newBuilder().setName(UNANSWERED)).build()
        val AWAY = 6_000.milliseconds
        const val PAUSE_MILLIS = 400L
        const val TIMEOUT_MILLIS = 350L
        const val MAXIMUM_SYNCS = 50

        const val SLOW_HANDSHAKE_MILLIS = 1_500L

        /** The syncs of more than a second. */
        const val HANDSHAKE_SYNCS = 2

        /** The users' bound on the time in which a change has to reach every daemon. */
        const val LIMIT_MILLIS = 2_000L
    }
}
