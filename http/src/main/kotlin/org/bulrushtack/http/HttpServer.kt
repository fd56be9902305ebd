package org.bulrushtack.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import org.bulrushtack.http.budget.AcceptGate
import org.bulrushtack.http.budget.ConnectionMeter
import org.bulrushtack.http.budget.CountedHeaders
import org.bulrushtack.http.budget.PortRole
import org.bulrushtack.http.budget.ResourceBudget
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** A listening HTTP/1.1 server. */
public class HttpServer private constructor(
    private val channel: Channel,
    private val activeExchanges: AtomicInteger,
    private val connections: Set<Channel>,
    private val handler: HttpHandler,
) {
    /** The number of requests whose response has not been written to the network completely. */
    public val activeCount: Int get() = activeExchanges.get()

    /** The number of open connections. */
    public val connectionCount: Int get() = connections.size

    /** The port that it listens on. */
    public val port: Int get() = (channel.localAddress() as InetSocketAddress).port

    /** Stops accepting connections; open connections stay usable. */
    public fun stopAccepting() {
        channel.close().awaitUninterruptibly()
    }

    /** Sends an error response to each request that has not arrived completely. Doesn't block. */
    public fun refuseIncomplete() = connections.forEach { connection ->
        connection.eventLoop().execute {
            val serverConnection = connection.pipeline().get(ServerConnection::class.java)
            if (serverConnection?.isArriving == true) {
                serverConnection.closer.refuse(connection, handler.errorResponse(RequestError.INCOMPLETE))
            }
        }
    }

    /**
     * Stops accepting and ends all connections, so that a process can exit: what was written is sent, then the end of
     * the output. A connection closes when its client closes too, and after [millis] at the latest. Doesn't block.
     */
    public fun closeConnections(millis: Long) {
        channel.close()
        connections.forEach { connection ->
            val handler = connection.pipeline().get(ServerConnection::class.java)
            connection.eventLoop().execute { handler?.closer?.close(connection, ConnectionEndCause.EXIT, millis) }
        }
    }

    public companion object {
        /**
         * Limits how many connections a port accepts in one round of the network thread. A connection that gives way to
         * a new one keeps its descriptor until the next round, so that the default of 16 for each port exceeded the
         * sockets of a process by 4.
         */
        public fun acceptAllocator(): RecvByteBufAllocator =
            ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_ROUND)

        /**
         * Listens on [host] and [port] (0 for any free port). [limits] is evaluated for each request, and the limit of
         * headers for each connection. A longer timeout counts at once, a shorter one from the next request on.
         */
        public fun start(
            group: EventLoopGroup,
            host: String,
            port: Int,
            limits: () -> HttpLimits,
            handler: HttpHandler,
        ): HttpServer {
            val gate = AcceptGate(ResourceBudget(), PortRole.CALLERS)
            return listen(group, HostAndPort(host, port), limits, handler, gate)
        }

        /** Listens on [address] as [start] does; [gate] counts what the connections hold. */
        public fun listen(
            group: EventLoopGroup,
            address: HostAndPort,
            limits: () -> HttpLimits,
            handler: HttpHandler,
            gate: AcceptGate,
        ): HttpServer {
            val activeExchanges = AtomicInteger()
            val connections = ConcurrentHashMap.newKeySet<Channel>()
            val bootstrap = ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .handler(gate)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAllocator())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES),
                )
                .childOption(
                    ChannelOption.WRITE_BUFFER_WATER_MARK,
                    WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES),
                )
                .childHandler(ConnectionInitializer(limits, handler, activeExchanges, connections))
            val channel = bootstrap.bind(address.host, address.port).syncUninterruptibly().channel()
            return HttpServer(channel, activeExchanges, connections, handler)
        }
    }

    private class ConnectionInitializer(
        private val limits: () -> HttpLimits,
        private val handler: HttpHandler,
        private val activeExchanges: AtomicInteger,
        private val connections: MutableSet<Channel>,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            connections.add(channel)
            channel.closeFuture().addListener { connections.remove(channel) }
            val headerBytes = limits().headerBytes
            val decoder = HttpDecoderConfig()
                .setMaxInitialLineLength(headerBytes)
                .setMaxHeaderSize(headerBytes)
            channel.pipeline().get(ConnectionMeter::class.java)?.account?.let { account ->
                decoder.setHeadersFactory(CountedHeaders.factory(account))
                decoder.setTrailersFactory(CountedHeaders.factory(account))
            }
            channel.pipeline()
                .addLast(HttpServerCodec(decoder))
                .addLast(ServerConnection(limits, handler, activeExchanges))
        }
    }
}

private const val BACKLOG = 1_024

/** With five ports, fewer than the sockets that are kept for closed connections. */
private const val ACCEPTS_PER_ROUND = 4

/** A read may go beyond the limits of what a connection holds by its own size, so that it has to be small. */
private const val MAXIMUM_READ_BYTES = 16_384
private const val FIRST_READ_BYTES = 2_048
private const val MINIMUM_READ_BYTES = 64

/** What is buffered for a client that reads slowly; all connections of a process may have such clients at once. */
private const val LOW_WATER_MARK_BYTES = 8 * 1024
private const val HIGH_WATER_MARK_BYTES = 16 * 1024
