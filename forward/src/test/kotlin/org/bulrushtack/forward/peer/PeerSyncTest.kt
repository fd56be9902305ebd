package org.bulrushtack.forward.peer

import io.grpc.Context
import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.bulrushtack.core.daemon.DaemonTable
import org.bulrushtack.core.daemon.storeReader
import org.bulrushtack.core.exchange.RetryAfterPolicy
import org.bulrushtack.core.fleet.FleetRegion
import org.bulrushtack.core.placement.PlacementLedger
import org.bulrushtack.core.placement.Scheduler
import org.bulrushtack.core.placement.ServerHealth
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.ForwardMetrics
import org.bulrushtack.forward.ForwardThread
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
import java.util.concurrent.LinkedBlockingQueue
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
        val peer = peer(group) { received.countDown() }
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

    // Guards against news that a peer gets only at the next tick, and against one more sync for each piece of news.
    @Test
    fun `records that arrive while a sync is under way are passed on by exactly one more sync`() {
        checkFollowUp(news = { passOn(hasRecords = true) })
    }

    @Test
    fun `a change of readability while a sync is under way is told by exactly one more sync`() {
        checkFollowUp(news = { tellReadability() })
    }

    // Guards against records that a peer misses since an earlier call failed, and against calls without end.
    @Test
    fun `records that arrive while a sync fails are passed on by exactly one more sync, which may fail too`() {
        withHeldCalls { testSubject, thread, calls ->
            thread.execute { repeat(PIECES_OF_NEWS) { testSubject.passOn(hasRecords = true) } }

            calls.next().shouldNotBeNull().fail()
            calls.next().shouldNotBeNull().fail()
            calls.next().shouldBeNull()
        }
    }

    // Guards against a daemon that learns only from the age of its records that nobody responds to it.
    @Test
    fun `a daemon to which nobody responds says so before its syncs reach their limit`() =
        withHeldCalls { testSubject, thread, calls ->
            val unheard = CountDownLatch(1)
            testSubject.onUnheard = { unheard.countDown() }

            thread.execute { testSubject.tick() }

            calls.next().shouldNotBeNull()
            unheard.await(SYNC_LIMIT_MILLIS, TimeUnit.MILLISECONDS) shouldBe true
        }

    /** Announces [news] several times while a peer holds the reply to a sync, and expects a single sync after that. */
    private fun checkFollowUp(news: PeerSync.() -> Unit) = withHeldCalls { testSubject, thread, calls ->
        thread.execute { repeat(PIECES_OF_NEWS) { testSubject.news() } }

        calls.next().shouldNotBeNull().reply()
        calls.next().shouldNotBeNull().reply()
        calls.next().shouldBeNull()
    }

    /** Runs [test] with a connected peer that puts each sync into a queue for the test to reply to. */
    private fun withHeldCalls(
        test: (PeerSync, ForwardThread, LinkedBlockingQueue<StreamObserver<SyncReply>>) -> Unit,
    ) {
        val group = EventLoops.create(threads = 1)
        val connections = PeerConnections(group)
        val calls = LinkedBlockingQueue<StreamObserver<SyncReply>>()
        val peer = peer(group) { calls.add(it) }
        try {
            val address = "127.0.0.1:${peer.port}"
            // The first call of a process loads the classes of gRPC.
            val first = connections.sync(address, SyncRequest.getDefaultInstance(), CONNECT_MILLIS)
            calls.poll(CONNECT_MILLIS, TimeUnit.MILLISECONDS).shouldNotBeNull().reply()
            first.join()
            val thread = ForwardThread(loop = group.next(), clock = time, onError = { throw it })
            val table = FakeDaemon.table(1)
            table.observe(FakeDaemon.info(2).copy(peerAddress = address), time.nowMillis(), direct = true)
            test(testSubject(connections, thread, table), thread, calls)
        } finally {
            connections.close()
            peer.shutdownNow()
            group.shutdownGracefully()
        }
    }

    private fun LinkedBlockingQueue<StreamObserver<SyncReply>>.next(): StreamObserver<SyncReply>? =
        poll(SYNC_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)

    private fun StreamObserver<SyncReply>.reply() {
        onNext(SyncReply.getDefaultInstance())
        onCompleted()
    }

    private fun StreamObserver<SyncReply>.fail() = onError(Status.UNAVAILABLE.asRuntimeException())

    private fun testSubject(
        connections: PeerConnections,
        thread: ForwardThread = time.thread,
        daemons: DaemonTable = this.daemons,
    ) = PeerSync(
        daemons = daemons,
        replica = FakeDaemon.replica(daemons, FakeRecordStore(), time),
        broker = PlacementBroker(scheduler, thread, ServicePressures(ForwardMetrics(), log)),
        connections = connections,
        thread = thread,
        log = log,
    )

    /** A daemon that leaves the reply to each sync to [onSync]. */
    private fun peer(group: EventLoopGroup, onSync: (StreamObserver<SyncReply>) -> Unit): Server {
        val handler = ServerCalls.asyncUnaryCall<SyncRequest, SyncReply> { _, reply -> onSync(reply) }
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
        const val SYNC_LIMIT_MILLIS = 350L

        /** The syncs of five seconds, far above a call on loopback. */
        const val SYNCS = 12
        const val PIECES_OF_NEWS = 3
        const val CONNECT_MILLIS = 5_000L
    }
}
