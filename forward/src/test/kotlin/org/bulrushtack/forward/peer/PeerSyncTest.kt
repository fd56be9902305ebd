package org.bulrushtack.forward.peer

import io.grpc.Context
import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.bulrushtack.core.daemon.storeReader
import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.placement.PlacementLedger
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.log.EventLogs
import org.bulrushtack.forward.placement.PlacementBroker
import org.bulrushtack.forward.placement.ServicePressures
import org.bulrushtack.forward.testing.FakeDaemon
import org.bulrushtack.forward.testing.FakeRecordStore
import org.bulrushtack.forward.testing.FakeTime
import org.bulrushtack.http.EventLoops
import org.bulrushtack.protocol.CoordinationMethods
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest
import org.bulrushtack.protocol.TopicPosition
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

class PeerSyncTest : AnnotationSpec() {
    private val time = FakeTime()
    private val daemons = FakeDaemon.table(1)
    private val log = EventLogs(time).forComponent("peers")
    private val scheduler = Scheduler(
        fleet = FleetRegion(),
        ledger = PlacementLedger(),
        health = ServerHealth(),
        retryAfterPolicy = RetryAfterPolicy(Random(1)),
        routing = { null },
    )

    /**
     * Guards against a call that is cancelled together with the sync that led to it. The placement leader then never
     * got a version of the configuration that another daemon had read. The peer syncs again until it gets the call, as
     * daemons do: the first call of a process may need longer than its limit, since it loads the classes of gRPC.
     */
    @Test
    fun `a daemon gets fresher records although the sync that told of them is over`() {
        val group = EventLoops.create(threads = 1)
        val connections = PeerConnections(group)
        val received = CountDownLatch(1)
        val peer = peer(group, received)
        val testSubject = testSubject(connections)

        val isReceived = (1..SYNCS).any {
            val sync = Context.current().withCancellation()
            sync.cancel(null)
            sync.run { testSubject.handle(request("127.0.0.1:${peer.port}")) }
            time.runPendingTasks()
            received.await(SYNC_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        }

        isReceived shouldBe true
        connections.close()
        peer.shutdownNow()
        group.shutdownGracefully()
    }

    // Guards against a substitute that learns only at its next tick that it is to read the store.
    @Test
    fun `news of who can read the store are looked at as soon as the call that brought them is over`() {
        val group = EventLoops.create(threads = 1)
        val connections = PeerConnections(group)
        val testSubject = testSubject(connections)
        var news = 0
        testSubject.onReadability = { news += 1 }
        val unreadable = FakeDaemon.info(3).copy(storeUnreadable = true)
        val request = SyncRequest.newBuilder().setSender(DaemonMessages.toWire(unreadable, ageMillis = 0)).build()

        testSubject.handle(request)
        news shouldBe 0
        time.runPendingTasks()
        news shouldBe 1
        daemons.storeReader(time.nowMillis())?.name shouldBe daemons.self.name

        testSubject.handle(request)
        time.runPendingTasks()
        news shouldBe 1
        connections.close()
        group.shutdownGracefully()
    }

    private fun testSubject(connections: PeerConnections) = PeerSync(
        daemons = daemons,
        replica = FakeDaemon.replica(daemons, FakeRecordStore(), time),
        broker = PlacementBroker(scheduler, time.thread, ServicePressures(ForwardMetrics(), log)),
        connections = connections,
        thread = time.thread,
        log = log,
    )

    private fun peer(group: EventLoopGroup, received: CountDownLatch): Server {
        val handler = ServerCalls.asyncUnaryCall<SyncRequest, SyncReply> { _, _ -> received.countDown() }
        val service = ServerServiceDefinition.builder(CoordinationMethods.SERVICE_NAME)
        return NettyServerBuilder.forAddress(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .bossEventLoopGroup(group)
            .workerEventLoopGroup(group)
            .channelType(NioServerSocketChannel::class.java)
            .addService(service.addMethod(CoordinationMethods.SYNC, handler).build())
            .build()
            .start()
    }

    private fun request(address: String): SyncRequest {
        val sender = DaemonMessages.toWire(FakeDaemon.info(2).copy(peerAddress = address), ageMillis = 0)
        val position = TopicPosition.newBuilder()
            .setTopic(StoreTopic.OPERATOR.name)
            .setEndOffset(1)
            .setAgeMillis(1)
        return SyncRequest.newBuilder().setSender(sender).addPositions(position).build()
    }

    private companion object {
        /** The interval between two syncs of a daemon. */
        const val SYNC_INTERVAL_MILLIS = 400L

        /** The syncs of five seconds, far above a call on loopback. */
        const val SYNCS = 12
    }
}
