package org.bulrushtack.daemon.peer

import com.google.protobuf.ByteString
import io.grpc.ClientCall
import io.grpc.ConnectivityState
import io.grpc.Metadata
import io.grpc.Status
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.daemon.owner.AttemptSubmission
import org.bulrushtack.daemon.owner.CallSink
import org.bulrushtack.daemon.owner.CallSubmission
import org.bulrushtack.daemon.owner.FrameSink
import org.bulrushtack.forward.peer.PeerConnections
import org.bulrushtack.protocol.CallReply
import org.bulrushtack.protocol.CallRequest
import org.bulrushtack.protocol.ExecuteFrame
import org.bulrushtack.protocol.ExecuteRequest
import org.bulrushtack.protocol.PeerMethods
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Sends work in one hop to the daemons that own the backend servers. */
class RemoteOwner(
    private val connections: PeerConnections,
    private val timer: ScheduledExecutorService,
) {
    /** Sends an attempt to the owner at [address]; returns a function that cancels it. */
    fun execute(address: String, submission: AttemptSubmission, sink: FrameSink): () -> Unit {
        val call = connections.newCall(
            address = address,
            method = PeerMethods.EXECUTE,
            timeoutMillis = submission.timeoutMillis + DEADLINE_GRACE_MILLIS,
        )
        val request = ExecuteRequest.newBuilder()
            .setRequestId(submission.id.requestId)
            .setAttempt(submission.id.attempt)
            .setServer(submission.server)
            .setWorkspace(submission.workspace)
            .setModel(submission.model)
            .setPrompt(ByteString.copyFrom(submission.prompt))
            .setPromptTokens(submission.promptTokens)
            .setMaxTokens(submission.maximumTokens)
            .setResumeFrom(submission.resumeFrom)
            .setDeadlineMillis(submission.timeoutMillis)
            .build()
        call.start(FrameReader(call = call, sink = sink), Metadata())
        call.sendMessage(request)
        call.halfClose()
        call.request(1)
        return { call.cancel("the attempt was cancelled", null) }
    }

    /**
     * Sends a call to the owner at [address]. It is sent only over a connection that is already established, so that a
     * failure to connect proves that nothing was sent.
     */
    fun call(address: String, submission: CallSubmission, sink: CallSink) =
        callWhenConnected(address = address, submission = submission, sink = sink, checksLeft = CONNECT_CHECKS)

    private fun callWhenConnected(address: String, submission: CallSubmission, sink: CallSink, checksLeft: Int) {
        val state = connections.channel(address).getState(true)
        when {
            state == ConnectivityState.READY -> send(address = address, submission = submission, sink = sink)
            checksLeft == 0 || state == ConnectivityState.SHUTDOWN -> sink.failed(
                Problem(kind = ErrorKind.NOT_DISPATCHED, detail = "The owner of the backend server can't be reached."),
            )
            else -> timer.schedule(
                {
                    callWhenConnected(
                        address = address,
                        submission = submission,
                        sink = sink,
                        checksLeft = checksLeft - 1,
                    )
                },
                CONNECT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private fun send(address: String, submission: CallSubmission, sink: CallSink) {
        val request = CallRequest.newBuilder()
            .setRequestId(submission.id.requestId)
            .setAttempt(submission.id.attempt)
            .setServer(submission.server)
            .setWorkspace(submission.workspace)
            .setService(submission.service)
            .setOperation(submission.operation)
            .setContentType(submission.contentType)
            .setBody(ByteString.copyFrom(submission.body))
            .setDeadlineMillis(submission.timeoutMillis)
            .setIdempotencyKey(submission.idempotencyKey.orEmpty())
            .build()
        connections.unary(
            address = address,
            method = PeerMethods.CALL,
            request = request,
            timeoutMillis = submission.timeoutMillis + DEADLINE_GRACE_MILLIS,
        ).whenComplete { reply, cause -> complete(reply = reply, cause = cause, sink = sink) }
    }

    private fun complete(reply: CallReply?, cause: Throwable?, sink: CallSink) = when {
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

    /** Requests the next frame only while [sink] is ready for more. */
    private class FrameReader(
        private val call: ClientCall<ExecuteRequest, ExecuteFrame>,
        private val sink: FrameSink,
    ) : ClientCall.Listener<ExecuteFrame>() {
        private var completed = false
        private var requestDeferred = false

        init {
            sink.onReady { resume() }
        }

        override fun onMessage(frame: ExecuteFrame) {
            when (frame.bodyCase) {
                ExecuteFrame.BodyCase.CHUNK ->
                    sink.chunk(offset = frame.chunk.offset, tokens = frame.chunk.tokens, text = frame.chunk.text)
                ExecuteFrame.BodyCase.FINISHED -> {
                    completed = true
                    sink.finished(totalTokens = frame.finished.totalTokens, reason = frame.finished.reason)
                }
                ExecuteFrame.BodyCase.FAILED -> {
                    completed = true
                    val kind = ErrorKind.fromCode(frame.failed.kind)
                    sink.failed(Problem(kind = kind, detail = frame.failed.detail))
                }
                ExecuteFrame.BodyCase.STARTED -> sink.started()
                else -> Unit
            }
            requestNext()
        }

        override fun onClose(status: Status, trailers: Metadata) {
            if (completed) return
            completed = true
            sink.failed(Problem(kind = ErrorKind.BACKEND_LOST, detail = "The owner was lost: ${status.code}"))
        }

        @Synchronized
        private fun requestNext() {
            if (sink.isReady) call.request(1) else requestDeferred = true
        }

        @Synchronized
        private fun resume() {
            if (!requestDeferred) return
            requestDeferred = false
            call.request(1)
        }
    }
}

private const val DEADLINE_GRACE_MILLIS = 2_000L
private const val CONNECT_CHECKS = 40
private const val CONNECT_CHECK_INTERVAL_MILLIS = 50L
