package org.bulrushtack.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFactory
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import org.bulrushtack.http.syntax.ResponseSyntaxHandler
import java.io.ByteArrayOutputStream
import java.net.ConnectException
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * An HTTP/1.1 client that pools idle connections for requests that need no dedicated one. A response that is malformed
 * is no response: its request fails with an unknown outcome, and its connection is closed. A request that times out
 * without any reply on a pooled connection also closes the pooled connections that have been idle for longer.
 */
public class HttpClient(
    private val group: EventLoopGroup,
    private val connectTimeoutMillis: Int = DEFAULT_CONNECT_TIMEOUT_MILLIS,
    private val channelFactory: ChannelFactory<out Channel> = ChannelFactory { NioSocketChannel() },
    private val malformedResponses: MalformedResponseObserver = LoggingMalformedResponseObserver,
    private val connectObserver: ConnectObserver = object : ConnectObserver {},
) {
    private val idle = IdleConnections()

    /**
     * Sends [request] and passes the response to [listener]. Once there is a connection, its thread asks [mayWrite]
     * just before the first byte; if the request may not be written any more, it fails as not sent.
     */
    public fun send(
        request: ClientRequest,
        listener: ResponseListener,
        mayWrite: () -> Boolean = { true },
    ): ClientCall {
        val sentAtNanos = System.nanoTime()
        val call = ClientExchange(
            request = request,
            listener = listener,
            onIdle = idle::add,
            malformedResponses = malformedResponses,
            mayWrite = mayWrite,
        )
        val pooled = if (request.dedicatedConnection) null else idle.take(request.address)
        val address = HostAndPort.parse(request.address)
        when {
            pooled != null -> pooled.eventLoop().execute { call.start(pooled) }
            address == null -> group.next().execute { call.abort("the address '${request.address}' is malformed") }
            else -> connect(address, request.dedicatedConnection).addListener { future ->
                val channel = (future as ChannelFuture).channel()
                if (future.isSuccess) call.start(channel) else abort(call, future.cause())
            }
        }
        request.timeoutMillis?.let { millis ->
            group.next().schedule({ timeOut(call, request.address, sentAtNanos) }, millis, TimeUnit.MILLISECONDS)
        }
        return call
    }

    /** Sends [request] and collects the complete response. */
    public fun exchange(request: ClientRequest): CompletableFuture<Either<HttpFailure, HttpMessageResponse>> {
        val collector = Collector()
        send(request = request, listener = collector)
        return collector.result
    }

    /** Silent connections are closed before the timeout is reported, since the next request may be sent at once. */
    private fun timeOut(call: ClientExchange, address: String, sentAtNanos: Long) {
        val isSilent = call.awaitedChannel?.let { IdleConnections.isSilentSince(it, sentAtNanos) } ?: false
        if (isSilent) idle.closeSilent(address, sentAtNanos)
        call.abort(reason = "timed out")
    }

    /** Opens a connection to [address], closes it without a request, and returns whether the address is reachable. */
    public fun probe(address: String): CompletableFuture<Boolean> {
        val target = HostAndPort.parse(address) ?: return CompletableFuture.completedFuture(false)
        val result = CompletableFuture<Boolean>()
        connect(target, isDedicated = false).addListener { future ->
            if (future.isSuccess) (future as ChannelFuture).channel().close()
            result.complete(future.isSuccess || !isUnreachable(future.cause()))
        }
        return result
    }

    /** Other failures, as of a process without descriptors, say nothing about the address. */
    private fun isUnreachable(cause: Throwable): Boolean = cause is SocketException

    /** The failure to create a channel at all, as when no descriptors are left, arrives on a thread of Netty's own. */
    private fun abort(call: ClientExchange, cause: Throwable) =
        group.next().execute {
            val isRefused = cause is ConnectException && cause !is ConnectTimeoutException
            call.abort(reason = cause.cause?.toString() ?: cause.toString(), connectionRefused = isRefused)
        }

    /** A connection stays open after a failed write, so that a response that came before it can be read. */
    private fun connect(address: HostAndPort, isDedicated: Boolean): ChannelFuture = Bootstrap()
        .group(group)
        .channelFactory(channelFactory)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_CLOSE, false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .option(ChannelOption.RECVBUF_ALLOCATOR, if (isDedicated) FAIR_READS else null)
        .handler(object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline()
                    .addLast(ReceptionMonitor())
                    .addLast(ResponseSizeLimiter())
                    .addLast(ResponseSyntaxHandler())
                    .addLast(HttpClientCodec())
            }
        })
        .connect(address.host, address.port)
        .addListener { future ->
            when {
                future.isSuccess -> connectObserver.onConnected("$address")
                isUnreachable(future.cause()) -> connectObserver.onUnreachable("$address")
            }
        }

    private class Collector : ResponseListener {
        val result = CompletableFuture<Either<HttpFailure, HttpMessageResponse>>()
        private val body = ByteArrayOutputStream()
        private var status = 0
        private var headers = HttpHeaderList()

        override fun onHead(status: Int, headers: HttpHeaderList) {
            this.status = status
            this.headers = headers
        }

        override fun onData(bytes: ByteArray) = body.writeBytes(bytes)

        override fun onComplete() {
            val response = HttpMessageResponse(
                status = status,
                contentType = headers.find("content-type").orEmpty(),
                body = body.toByteArray(),
                headers = headers,
            )
            result.complete(response.right())
        }

        override fun onFailure(failure: HttpFailure) {
            result.complete(failure.left())
        }
    }
}

private const val DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000
private const val MINIMUM_READ_BYTES = 512
private const val FIRST_READ_BYTES = 2_048
private const val MAXIMUM_READ_BYTES = 16_384

/**
 * One bounded read for each turn of the network thread, so that no response delays other connections. A pooled
 * connection reads all there is, so that bytes behind a response are found before its next request.
 */
private val FAIR_READS = AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES)
    .maxMessagesPerRead(1)
