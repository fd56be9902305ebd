package org.bulrushtack.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.ChannelException
import io.netty.channel.EventLoop
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class HttpClientTest : AnnotationSpec() {
    private val group = EventLoops.create(threads = 1)

    @AfterAll
    fun closeGroup() {
        group.shutdownGracefully()
    }

    // Guards against changes of the daemon's state, which has no locks, on a second thread.
    @Test
    fun `a connection for which there is no descriptor fails as not sent, on the network thread`() {
        val loop = group.next() as EventLoop
        val reported = CompletableFuture<Pair<HttpFailure, Boolean>>()
        val listener = object : ResponseListener by FakeResponseListener() {
            override fun onFailure(failure: HttpFailure) {
                reported.complete(failure to loop.inEventLoop())
            }
        }
        val testSubject = HttpClient(group, channelFactory = { throw ChannelException("too many open files") })

        testSubject.send(ClientRequest(method = "GET", address = "127.0.0.1:1", path = "/"), listener)

        val (failure, isOnLoop) = reported.get(LIMIT_SECONDS, TimeUnit.SECONDS)
        failure.sent shouldBe false
        isOnLoop shouldBe true
    }

    // Guards against a server that is taken for dead, as its connections are reset.
    @Test
    fun `a connection is refused only where nothing listens`() {
        val closedPort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val testSubject = HttpClient(group)

        val refused = testSubject.exchange(ClientRequest(method = "GET", address = "127.0.0.1:$closedPort", path = "/"))
        val reset = RawServer { it.setSoLinger(true, 0) }.use { server ->
            testSubject.exchange(ClientRequest(method = "GET", address = server.address, path = "/"))
                .get(LIMIT_SECONDS, TimeUnit.SECONDS)
        }

        refused.get(LIMIT_SECONDS, TimeUnit.SECONDS).leftOrNull()?.connectionRefused shouldBe true
        reset.leftOrNull()?.connectionRefused shouldBe false
    }

    // Guards against a request to a server that began to leave while the connection to it was opened.
    @Test
    fun `a request that may not be written once its connection is open fails as not sent, with no byte written`() {
        val loop = group.next() as EventLoop
        val received = CompletableFuture<Int>()
        val reported = CompletableFuture<HttpFailure>()
        val isAskedOnLoop = CompletableFuture<Boolean>()
        val listener = object : ResponseListener by FakeResponseListener() {
            override fun onFailure(failure: HttpFailure) {
                reported.complete(failure)
            }
        }

        RawServer { received.complete(it.getInputStream().read()) }.use { server ->
            val request = ClientRequest(method = "GET", address = server.address, path = "/")
            HttpClient(group).send(request, listener, mayWrite = { !isAskedOnLoop.complete(loop.inEventLoop()) })

            reported.get(LIMIT_SECONDS, TimeUnit.SECONDS).sent shouldBe false
            received.get(LIMIT_SECONDS, TimeUnit.SECONDS) shouldBe END_OF_INPUT
            isAskedOnLoop.get(LIMIT_SECONDS, TimeUnit.SECONDS) shouldBe true
        }
    }

    private companion object {
        const val END_OF_INPUT = -1
        const val LIMIT_SECONDS = 10L
    }
}
