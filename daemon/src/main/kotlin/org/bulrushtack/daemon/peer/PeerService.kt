package org.bulrushtack.daemon.peer

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.control.Event
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.log.LogEntry
import org.bulrushtack.core.log.Snapshot
import org.bulrushtack.daemon.control.ControlThread
import org.bulrushtack.daemon.owner.AttemptSubmission
import org.bulrushtack.daemon.owner.CallSubmission
import org.bulrushtack.daemon.owner.WorkRunner
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.http.HostAndPort
import org.bulrushtack.protocol.CallReply
import org.bulrushtack.protocol.CallRequest
import org.bulrushtack.protocol.ExecuteFrame
import org.bulrushtack.protocol.ExecuteRequest
import org.bulrushtack.protocol.Heartbeat
import org.bulrushtack.protocol.PeerMethods
import org.bulrushtack.protocol.ReadRecordsReply
import org.bulrushtack.protocol.ReadRecordsRequest
import java.net.InetSocketAddress

/** Serves the requests of peer daemons: heartbeats, log reads, attempts and calls. */
class PeerService(
    private val control: ControlThread,
    private val runner: WorkRunner,
) {
    /** Listens on [address]. */
    fun start(group: EventLoopGroup, address: HostAndPort): Server =
        NettyServerBuilder.forAddress(InetSocketAddress(address.host, address.port))
            .bossEventLoopGroup(group)
            .workerEventLoopGroup(group)
            .channelType(NioServerSocketChannel::class.java)
            .directExecutor()
            .maxInboundMessageSize(PeerConnections.MAXIMUM_MESSAGE_BYTES)
            .addService(definition())
            .build()
            .start()

    private fun definition(): ServerServiceDefinition = ServerServiceDefinition.builder(PeerMethods.SERVICE_NAME)
        .addMethod(PeerMethods.EXCHANGE, ServerCalls.asyncUnaryCall(::exchange))
        .addMethod(PeerMethods.READ_RECORDS, ServerCalls.asyncUnaryCall(::readRecords))
        .addMethod(PeerMethods.EXECUTE, ServerCalls.asyncServerStreamingCall(::execute))
        .addMethod(PeerMethods.CALL, ServerCalls.asyncUnaryCall(::call))
        .build()

    private fun exchange(request: Heartbeat, observer: StreamObserver<Heartbeat>) {
        val message = PeerMessages.fromWire(request)
        control.post(Event.HeartbeatReceived(message = message, requestSentAtMillis = null))
        control.query { blackboard, nowMillis -> PeerMessages.toWire(blackboard.heartbeat(nowMillis)) }
            .thenAccept { respond(observer = observer, value = it) }
    }

    private fun readRecords(request: ReadRecordsRequest, observer: StreamObserver<ReadRecordsReply>) {
        control.query { blackboard, _ -> entries(blackboard = blackboard, request = request) }.thenAccept { entries ->
            val reply = ReadRecordsReply.newBuilder().addAllEntries(entries.map { PeerMessages.toWire(it) }).build()
            respond(observer = observer, value = reply)
        }
    }

    /** The requested entries, or a snapshot of the whole state where some of them are no longer held here. */
    private fun entries(blackboard: Blackboard, request: ReadRecordsRequest): List<LogEntry> {
        val log = blackboard.log
        val requested = log.recent.filter { it.offset >= request.fromOffset }.take(request.limit)
        val projection = log.projection
        val coversAll = requested.firstOrNull()?.offset == request.fromOffset
        if (projection.appliedOffset < request.fromOffset || coversAll) return requested
        val snapshot = Snapshot(
            id = "state/${blackboard.identity.name}/${projection.appliedOffset}",
            throughOffset = projection.appliedOffset,
            state = projection.state(),
        )
        return listOf(LogEntry(offset = projection.appliedOffset, appendedAtMillis = 0, record = snapshot))
    }

    private fun execute(request: ExecuteRequest, observer: StreamObserver<ExecuteFrame>) {
        val id = WorkId(requestId = request.requestId, attempt = request.attempt)
        val serverObserver = observer as ServerCallStreamObserver<ExecuteFrame>
        val sink = GrpcFrameSink(id = id, observer = serverObserver)
        serverObserver.setOnCancelHandler { runner.withdraw(id) }
        val submission = AttemptSubmission(
            id = id,
            server = request.server,
            workspace = request.workspace,
            model = request.model,
            prompt = request.prompt.toByteArray(),
            promptTokens = request.promptTokens,
            maximumTokens = request.maxTokens,
            resumeFrom = request.resumeFrom,
            timeoutMillis = request.deadlineMillis,
        )
        runner.submit(submission = submission, sink = sink)
    }

    private fun call(request: CallRequest, observer: StreamObserver<CallReply>) {
        val submission = CallSubmission(
            id = WorkId(requestId = request.requestId, attempt = request.attempt),
            server = request.server,
            workspace = request.workspace,
            service = request.service,
            operation = request.operation,
            contentType = request.contentType,
            body = request.body.toByteArray(),
            idempotencyKey = request.idempotencyKey.ifEmpty { null },
            timeoutMillis = request.deadlineMillis,
        )
        runner.submit(submission = submission, sink = GrpcCallSink(observer = observer))
    }

    private fun <T> respond(observer: StreamObserver<T>, value: T) {
        observer.onNext(value)
        observer.onCompleted()
    }
}
