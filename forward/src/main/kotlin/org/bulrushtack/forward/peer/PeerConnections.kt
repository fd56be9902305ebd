package org.bulrushtack.forward.peer

import io.grpc.CallOptions
import io.grpc.ClientCall
import io.grpc.ConnectivityState
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.ClientCalls
import io.grpc.stub.StreamObserver
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import org.bulrushtack.http.ReceptionMonitor
import org.bulrushtack.protocol.CoordinationMethods
import org.bulrushtack.protocol.LoadReport
import org.bulrushtack.protocol.LoadReportReply
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** gRPC channels to other daemons, one for each address. They never retry; the controllers decide on retries. */
class PeerConnections(
    private val group: EventLoopGroup,
    private val openChannel: () -> NioSocketChannel = { NioSocketChannel() },
) {
    private val channels = ConcurrentHashMap<String, PeerChannel>()

    /** Creates a call to the daemon at [address] with a deadline of [timeoutMillis]. */
    fun <Q, R> newCall(
        address: String,
        method: MethodDescriptor<Q, R>,
        timeoutMillis: Long,
        options: CallOptions = CallOptions.DEFAULT,
    ): ClientCall<Q, R> =
        channel(address).newCall(method, options.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS))

    /**
     * Sends one request and returns its reply; the future fails with gRPC's own exception. If the connection is silent
     * until the time is over, later calls use a new one, as gRPC would give up the silent one only after seconds. Calls
     * that run on it are left to it.
     */
    fun <Q, R> unary(
        address: String,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
        options: CallOptions = CallOptions.DEFAULT,
    ): CompletableFuture<R> {
        val peer = peerChannel(address)
        return unary(peer, method, request, options.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)) {
            if (channels.remove(address, peer)) peer.channel.shutdown()
            it
        }
    }

    /**
     * Sends [request] to the daemon at [address]. If that couldn't be reached before, this connects at once and waits
     * for the connection: whoever syncs paces its attempts itself, while gRPC waits longer after each failure, at last
     * for two minutes. If the connection is silent until the time is over, its other calls end too, so that whoever
     * waits for their replies can turn to another daemon. The future then fails with [SilentConnectionException] if the
     * connection carried replies before.
     */
    fun sync(address: String, request: SyncRequest, timeoutMillis: Long): CompletableFuture<SyncReply> {
        val peer = peerChannel(address)
        val isUnreachable = peer.channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE
        if (isUnreachable) peer.channel.resetConnectBackoff()
        val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
        return unary(
            peer = peer,
            method = CoordinationMethods.SYNC,
            request = request,
            options = if (isUnreachable) options.withWaitForReady() else options,
        ) {
            if (channels.remove(address, peer)) peer.channel.shutdownNow()
            if (peer.hasReplied) SilentConnectionException(it) else it
        }
    }

    /** Sends [report] to the daemon at [address]. */
    fun reportLoad(address: String, report: LoadReport): CompletableFuture<LoadReportReply> =
        unary(address, CoordinationMethods.REPORT_LOAD, report, REPORT_TIMEOUT_MILLIS)

    /** The channel to the daemon at [address]. */
    fun channel(address: String): ManagedChannel = peerChannel(address).channel

    /** Closes all channels. */
    fun close() {
        channels.values.forEach { it.channel.shutdownNow() }
    }

    private fun peerChannel(address: String): PeerChannel = channels.computeIfAbsent(address) { open(it) }

    private fun <Q, R> unary(
        peer: PeerChannel,
        method: MethodDescriptor<Q, R>,
        request: Q,
        options: CallOptions,
        onSilence: (Throwable) -> Throwable,
    ): CompletableFuture<R> {
        val startedAtNanos = System.nanoTime()
        val result = CompletableFuture<R>()
        val observer = FutureObserver<R>(
            onReply = { reply -> result.complete(reply).also { peer.hasReplied = true } },
            onFailure = { failure ->
                val isSilent = isTimeout(failure) && peer.isSilentSince(startedAtNanos)
                result.completeExceptionally(if (isSilent) onSilence(failure) else failure)
            },
        )
        ClientCalls.asyncUnaryCall(peer.channel.newCall(method, options), request, observer)
        return result
    }

    private fun open(address: String): PeerChannel {
        val reception = ReceptionMonitor()
        val channel = NettyChannelBuilder.forAddress(socketAddress(address))
            .eventLoopGroup(group)
            .channelFactory { openChannel().also { it.pipeline().addFirst(reception) } }
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .directExecutor()
            .disableRetry()
            .usePlaintext()
            .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build()
        return PeerChannel(channel = channel, reception = reception)
    }

    private fun socketAddress(address: String): InetSocketAddress =
        InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

    private class FutureObserver<R>(
        private val onReply: (R) -> Unit,
        private val onFailure: (Throwable) -> Unit,
    ) : StreamObserver<R> {
        override fun onNext(value: R) = onReply(value)

        override fun onError(cause: Throwable) = onFailure(cause)

        override fun onCompleted() = Unit
    }

    companion object {
        /** The largest message between daemons, in bytes: a prompt of a million tokens and some headroom. */
        const val MAXIMUM_MESSAGE_BYTES: Int = 80 * 1024 * 1024
    }
}

private fun isTimeout(failure: Throwable): Boolean =
    Status.fromThrowable(failure).code == Status.Code.DEADLINE_EXCEEDED

/** Less than the interval between two reports. */
private const val REPORT_TIMEOUT_MILLIS = 450L

/** Longer than a sync waits; the system's own attempts to connect get rare while nothing responds. */
private const val CONNECT_TIMEOUT_MILLIS = 500
private const val KEEP_ALIVE_SECONDS = 10L
private const val KEEP_ALIVE_TIMEOUT_SECONDS = 3L
