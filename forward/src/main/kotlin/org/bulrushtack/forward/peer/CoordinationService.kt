package org.bulrushtack.forward.peer

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.bulrushtack.core.placement.PlacementDecision
import org.bulrushtack.forward.ForwardThread
import org.bulrushtack.forward.duty.LoadReporter
import org.bulrushtack.forward.placement.PlacementBroker
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.http.HttpServer
import org.bulrushtack.http.budget.AcceptGate
import org.bulrushtack.http.budget.PortRole
import org.bulrushtack.http.budget.ResourceBudget
import org.bulrushtack.protocol.CoordinationMethods
import org.bulrushtack.protocol.LoadReport
import org.bulrushtack.protocol.LoadReportReply
import org.bulrushtack.protocol.PlaceReply
import org.bulrushtack.protocol.PlaceRequest
import org.bulrushtack.protocol.ReleaseReply
import org.bulrushtack.protocol.ReleaseRequest
import org.bulrushtack.protocol.SyncReply
import org.bulrushtack.protocol.SyncRequest
import java.net.InetSocketAddress

/** The gRPC service of a forwarding daemon for its peers. */
internal class CoordinationService(
    private val sync: PeerSync,
    private val broker: PlacementBroker,
    private val loadReporter: LoadReporter,
    private val thread: ForwardThread,
    private val budget: ResourceBudget = ResourceBudget(),
) {
    /** Starts to listen at [address]. */
    fun start(group: EventLoopGroup, address: HostAndPort): Server =
        NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port))
            .bossEventLoopGroup(group)
            .workerEventLoopGroup(group)
            .channelFactory {
                NioServerSocketChannel().apply { pipeline().addFirst(AcceptGate(budget, PortRole.DAEMONS)) }
            }
            .withOption(ChannelOption.RECVBUF_ALLOCATOR, HttpServer.acceptAllocator())
            .withChildOption(ChannelOption.RECVBUF_ALLOCATOR, SMALL_READS)
            .addStreamTracerFactory(MessageTracers(budget))
            .maxConcurrentCallsPerConnection(MAXIMUM_CALLS)
            .directExecutor()
            .addService(definition())
            .build()
            .start()

    private fun definition(): ServerServiceDefinition =
        ServerServiceDefinition.builder(CoordinationMethods.SERVICE_NAME)
            .addMethod(CoordinationMethods.SYNC, ServerCalls.asyncUnaryCall(::sync))
            .addMethod(CoordinationMethods.PLACE, ServerCalls.asyncServerStreamingCall(::place))
            .addMethod(CoordinationMethods.RELEASE, ServerCalls.asyncUnaryCall(::release))
            .addMethod(CoordinationMethods.REPORT_LOAD, ServerCalls.asyncUnaryCall(::reportLoad))
            .build()

    private fun sync(request: SyncRequest, observer: StreamObserver<SyncReply>) {
        observer.onNext(sync.handle(request))
        observer.onCompleted()
    }

    private fun reportLoad(report: LoadReport, observer: StreamObserver<LoadReportReply>) {
        observer.onNext(loadReporter.handle(report))
        observer.onCompleted()
    }

    private fun place(request: PlaceRequest, observer: StreamObserver<PlaceReply>) {
        val call = observer as ServerCallStreamObserver<PlaceReply>
        call.setOnCancelHandler { broker.withdraw(request.id) }
        broker.submit(PlacementMessages.fromWire(request, thread.nowMillis())) { decision ->
            if (!call.isCancelled) {
                call.onNext(CoordinationMessages.toWire(decision))
                if (decision !is PlacementDecision.Waiting) call.onCompleted()
            }
        }
    }

    private fun release(request: ReleaseRequest, observer: StreamObserver<ReleaseReply>) {
        broker.release(PlacementMessages.fromWire(request))
        observer.onNext(ReleaseReply.getDefaultInstance())
        observer.onCompleted()
    }
}

/** Far more than one peer has waiting for placements at a time. */
private const val MAXIMUM_CALLS = 4_096
private const val MINIMUM_READ_BYTES = 512
private const val FIRST_READ_BYTES = 2_048
private const val MAXIMUM_READ_BYTES = 16_384

/** Each part of an unfinished message keeps the whole read that it came with. */
private val SMALL_READS = AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES)
