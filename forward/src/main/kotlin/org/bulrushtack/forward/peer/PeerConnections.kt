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
     * Sends one request and returns its reply; the future fails with gRPC's own exception or, as for [sync], with
     * [SilentConnectionException]. If the connection is silent until the time is over, later calls use a new one, as
     * gRPC would give up the silent one only after seconds.
     */
    fun <Q, R> unary(
        address: String,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
        options: CallOptions = CallOptions.DEFAULT,
    ): CompletableFuture<R> {
        val callOptions = options.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
        return unary(address, peerChannel(address), method, request, callOptions)
    }

    /**
     * Sends [request] to the daemon at [address]. If that couldn't be reached before, this connects at once and waits
     * for the connection: whoever syncs paces its attempts itself, while gRPC waits longer after each failure, at last
     * for two minutes. If the connection is silent until the time is over, the future fails with
     * [SilentConnectionException], provided that it carried replies before.
     */
    fun sync(address: String, request: SyncRequest, timeoutMillis: Long): CompletableFuture<SyncReply> {
        val peer = peerChannel(address)
        val isUnreachable = peer.channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE
        if (isUnreachable) peer.channel.resetConnectBackoff()
        val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
        return unary(
            address = address,
            peer = peer,
            method = CoordinationMethods.SYNC,
            request = request,
            options = if (isUnreachable) options.withWaitForReady() else options,
        )
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

    private fun peerChannel(address: String): PeerChannel =
        channels.computeIfAbsent(address) { open(it, FIRST_HANDSHAKE_NANOS) }

    private fun <Q, R> unary(
        address: String,
        peer: PeerChannel,
        method: MethodDescriptor<Q, R>,
        request: Q,
        options: CallOptions,
    ): CompletableFuture<R> {
        val startedAtNanos = System.nanoTime()
        val result = CompletableFuture<R>()
        val observer = FutureObserver<R>(
            onReply = { reply -> result.complete(reply).also { peer.hasReplied = true } },
            onFailure = { failure ->
                val isSilent = isTimeout(failure) && peer.isSilentSince(startedAtNanos)
                if (isSilent) replace(address, peer)
                val isLost = isSilent && peer.hasReplied
                result.completeExceptionally(if (isLost) SilentConnectionException(failure) else failure)
            },
        )
        ClientCalls.asyncUnaryCall(peer.channel.newCall(method, options), request, observer)
        return result
    }

    /** Calls that run on [silent] are left to it. A slow peer gets twice the time for the next handshake. */
    private fun replace(address: String, silent: PeerChannel) {
        val handshakeNanos =
            if (silent.hasReplied) FIRST_HANDSHAKE_NANOS else minOf(2 * silent.handshakeNanos, LONGEST_HANDSHAKE_NANOS)
        if (channels.replace(address, silent, open(address, handshakeNanos))) silent.channel.shutdown()
    }

    private fun open(address: String, handshakeNanos: Long): PeerChannel {
        val reception = ReceptionMonitor()
        val channel = NettyChannelBuilder.forAddress(socketAddress(address))
            .eventLoopGroup(group)
            .channelFactory { openChannel().also { it.pipeline().addLast(reception) } }
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .directExecutor()
            .disableRetry()
            .usePlaintext()
            .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build()
        return PeerChannel(channel = channel, reception = reception, handshakeNanos = handshakeNanos)
    }

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

private fun socketAddress(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

private fun isTimeout(failure: Throwable): Boolean =
    Status.fromThrowable(failure).code == Status.Code.DEADLINE_EXCEEDED

/** Less than the interval between two reports. */
private const val REPORT_TIMEOUT_MILLIS = 450L

/** The handshake of a machine that has just started may take seconds. */
private const val FIRST_HANDSHAKE_NANOS = 1_000_000_000L
private const val LONGEST_HANDSHAKE_NANOS = 16_000_000_000L

/** Longer than a sync waits; the system's own attempts to connect get rare while nothing responds. */
private const val CONNECT_TIMEOUT_MILLIS = 500
private const val KEEP_ALIVE_SECONDS = 10L
private const val KEEP_ALIVE_TIMEOUT_SECONDS = 3L
