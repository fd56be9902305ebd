package org.bulrushtack.forward.peer

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.netty.channel.EventLoopGroup
import org.bulrushtack.http.EventLoops
import org.bulrushtack.http.FreePorts
import org.bulrushtack.protocol.CoordinationMethods
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

class PeerConnectionsTest : AnnotationSpec() {
    private val group: EventLoopGroup = EventLoops.create(threads = 1)
    private val port = FreePorts.find(count = 1).single()
    private val testSubject = PeerConnections(group)

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

        while (!sync()) Thread.sleep(PAUSE_MILLIS)

        val tookMillis = returned.elapsedNow().inWholeMilliseconds
        daemon.shutdownNow()
        tookMillis shouldBeLessThan LIMIT_MILLIS
    }

    private fun sync(): Boolean = runCatching {
        testSubject.sync("127.0.0.1:$port", SyncRequest.getDefaultInstance(), TIMEOUT_MILLIS).get()
    }.isSuccess

    private fun startDaemon(): Server {
        val sync = ServerCalls.asyncUnaryCall<SyncRequest, SyncReply> { _, observer ->
            observer.onNext(SyncReply.getDefaultInstance())
            observer.onCompleted()
        }
        val service = ServerServiceDefinition.builder(CoordinationMethods.SERVICE_NAME)
            .addMethod(CoordinationMethods.SYNC, sync)
            .build()
        return NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", port)).addService(service).build().start()
    }

    private companion object {
        val AWAY = 6_000.milliseconds
        const val PAUSE_MILLIS = 400L
        const val TIMEOUT_MILLIS = 350L

        /** The users' bound on the time in which a change has to reach every daemon. */
        const val LIMIT_MILLIS = 2_000L
    }
}
