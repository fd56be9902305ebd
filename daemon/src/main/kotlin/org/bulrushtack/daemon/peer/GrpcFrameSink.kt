package org.bulrushtack.daemon.peer

import io.grpc.stub.ServerCallStreamObserver
import org.bulrushtack.core.dispatch.WorkId
import org.bulrushtack.core.error.Problem
import org.bulrushtack.daemon.owner.FrameSink
import org.bulrushtack.protocol.Chunk
import org.bulrushtack.protocol.ExecuteFrame
import org.bulrushtack.protocol.Failed
import org.bulrushtack.protocol.Finished
import org.bulrushtack.protocol.Started

/** Sends the answer of an attempt to the ingress daemon; each frame carries the ids of request and attempt. */
internal class GrpcFrameSink(
    private val id: WorkId,
    private val observer: ServerCallStreamObserver<ExecuteFrame>,
) : FrameSink {
    @Volatile
    private var readyListener: () -> Unit = {}

    init {
        observer.setOnReadyHandler { readyListener() }
    }

    override val isReady: Boolean get() = observer.isReady

    override fun onReady(listener: () -> Unit) {
        readyListener = listener
    }

    override fun started() = send { setStarted(Started.getDefaultInstance()) }

    override fun chunk(offset: Long, tokens: Long, text: String) = send {
        setChunk(Chunk.newBuilder().setOffset(offset).setTokens(tokens).setText(text))
    }

    override fun finished(totalTokens: Long, reason: String) {
        send { setFinished(Finished.newBuilder().setTotalTokens(totalTokens).setReason(reason)) }
        complete()
    }

    override fun failed(problem: Problem) {
        send { setFailed(Failed.newBuilder().setKind(problem.kind.code).setDetail(problem.detail)) }
        complete()
    }

    @Synchronized
    private fun send(fill: ExecuteFrame.Builder.() -> Unit) {
        if (observer.isCancelled) return
        val frame = ExecuteFrame.newBuilder().setRequestId(id.requestId).setAttempt(id.attempt)
        frame.fill()
        observer.onNext(frame.build())
    }

    @Synchronized
    private fun complete() {
        if (!observer.isCancelled) observer.onCompleted()
    }
}
