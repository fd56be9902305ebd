package org.bulrushtack.daemon.peer

import com.google.protobuf.ByteString
import io.grpc.ClientCall
import io.grpc.ConnectivityState
import io.grpc.Metadata
import io.grpc.Status
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.daemon.owner.AttemptOrder
import org.bulrushtack.daemon.owner.CallOrder
import org.bulrushtack.daemon.owner.CallSink
import org.bulrushtack.daemon.owner.FrameSink
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.protocol.CallReply
import org.bulrushtack.protocol.CallRequest
import org.bulrushtack.protocol.ExecuteFrame
import org.bulrushtack.protocol.ExecuteRequest
import org.bulrushtack.protocol.PeerMethods
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Hands work to backend servers' owners on other daemons, in one hop. */
class RemoteOwner(
    private val connections: PeerConnections,
    private val timer: ScheduledExecutorService,
) {
    /** Sends an attempt to the owner at [address]; gives what breaks it off. */
    fun execute(address: String, order: AttemptOrder, sink: FrameSink): () -> Unit {
        val call = connections.newCall(
            address = address,
            method = PeerMethods.EXECUTE,
            timeoutMillis = order.timeoutMillis + GRACE_MILLIS,
        )
        val request = ExecuteRequest.newBuilder()
            .setRequestId(order.id.requestId)
            .setAttempt(order.id.attempt)
            .setServer(order.server)
            .setWorkspace(order.workspace)
            .setModel(order.model)
            .setPrompt(ByteString.copyFrom(order.prompt))
            .setPromptTokens(order.promptTokens)
            .setMaxTokens(order.maximumTokens)
            .setResumeFrom(order.resumeFrom)
            .setDeadlineMillis(order.timeoutMillis)
            .build()
        call.start(FrameReader(call = call, sink = sink), Metadata())
        call.sendMessage(request)
        call.halfClose()
        call.request(1)
        return { call.cancel("the attempt was given up", null) }
    }

    /**
     * Sends a call to the owner at [address]. It is sent only over a connection that stands already, so that a
     * failure before that proves that nothing was sent.
     */
    fun call(address: String, order: CallOrder, sink: CallSink) =
        callWhenConnected(address = address, order = order, sink = sink, triesLeft = CONNECT_TRIES)

    private fun callWhenConnected(address: String, order: CallOrder, sink: CallSink, triesLeft: Int) {
        val state = connections.channel(address).getState(true)
        when {
            state == ConnectivityState.READY -> send(address = address, order = order, sink = sink)
            triesLeft == 0 || state == ConnectivityState.SHUTDOWN -> sink.failed(
                Problem(kind = ErrorKind.NOT_DISPATCHED, detail = "The owner of the backend server can't be reached."),
            )
            else -> timer.schedule(
                { callWhenConnected(address = address, order = order, sink = sink, triesLeft = triesLeft - 1) },
                CONNECT_PAUSE_MILLIS,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private fun send(address: String, order: CallOrder, sink: CallSink) {
        val request = CallRequest.newBuilder()
            .setRequestId(order.id.requestId)
            .setAttempt(order.id.attempt)
            .setServer(order.server)
            .setWorkspace(order.workspace)
            .setService(order.service)
            .setOperation(order.operation)
            .setContentType(order.contentType)
            .setBody(ByteString.copyFrom(order.body))
            .setDeadlineMillis(order.timeoutMillis)
            .setIdempotencyKey(order.idempotencyKey.orEmpty())
            .build()
        connections.unary(
            address = address,
            method = PeerMethods.CALL,
            request = request,
            timeoutMillis = order.timeoutMillis + GRACE_MILLIS,
        ).whenComplete { reply, cause -> conclude(reply = reply, cause = cause, sink = sink) }
    }

    private fun conclude(reply: CallReply?, cause: Throwable?, sink: CallSink) = when {
        reply == null -> sink.failed(
            Problem(kind = ErrorKind.BACKEND_LOST, detail = "The owner was lost: ${cause?.message}"),
        )
        reply.hasAnswer() -> sink.answered(
            CallAnswer(
                status = reply.answer.status,
                contentType = reply.answer.contentType,
                body = reply.answer.body.toStringUtf8(),
            ),
        )
        else -> sink.failed(Problem(kind = ErrorKind.fromCode(reply.failed.kind), detail = reply.failed.detail))
    }

    /** Asks for the next frame only while the caller's side takes more. */
    private class FrameReader(
        private val call: ClientCall<ExecuteRequest, ExecuteFrame>,
        private val sink: FrameSink,
    ) : ClientCall.Listener<ExecuteFrame>() {
        private var concluded = false
        private var waits = false

        init {
            sink.onReady { goOn() }
        }

        override fun onMessage(frame: ExecuteFrame) {
            when (frame.bodyCase) {
                ExecuteFrame.BodyCase.CHUNK ->
                    sink.chunk(offset = frame.chunk.offset, tokens = frame.chunk.tokens, text = frame.chunk.text)
                ExecuteFrame.BodyCase.FINISHED -> {
                    concluded = true
                    sink.finished(totalTokens = frame.finished.totalTokens, reason = frame.finished.reason)
                }
                ExecuteFrame.BodyCase.FAILED -> {
                    concluded = true
                    val kind = ErrorKind.fromCode(frame.failed.kind)
                    sink.failed(Problem(kind = kind, detail = frame.failed.detail))
                }
                ExecuteFrame.BodyCase.STARTED -> sink.started()
                else -> Unit
            }
            requestNext()
        }

        override fun onClose(status: Status, trailers: Metadata) {
            if (concluded) return
            concluded = true
            sink.failed(Problem(kind = ErrorKind.BACKEND_LOST, detail = "The owner was lost: ${status.code}"))
        }

        @Synchronized
        private fun requestNext() {
            if (sink.isReady) call.request(1) else waits = true
        }

        @Synchronized
        private fun goOn() {
            if (!waits) return
            waits = false
            call.request(1)
        }
    }
}

private const val GRACE_MILLIS = 2_000L
private const val CONNECT_TRIES = 40
private const val CONNECT_PAUSE_MILLIS = 50L
