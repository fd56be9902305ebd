package org.bulrushtack.daemon.peer

import com.google.protobuf.ByteString
import io.grpc.stub.StreamObserver
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.CallAnswer
import org.bulrushtack.daemon.owner.CallSink
import org.bulrushtack.protocol.CallReply
import org.bulrushtack.protocol.Failed
import org.bulrushtack.protocol.CallAnswer as WireAnswer

/** Sends the outcome of a call to its ingress daemon. */
internal class GrpcCallSink(
    private val observer: StreamObserver<CallReply>,
) : CallSink {
    override fun answered(answer: CallAnswer) {
        val wire = WireAnswer.newBuilder()
            .setStatus(answer.status)
            .setContentType(answer.contentType)
            .setBody(ByteString.copyFromUtf8(answer.body))
            .build()
        reply(CallReply.newBuilder().setAnswer(wire).build())
    }

    override fun failed(problem: Problem) {
        val wire = Failed.newBuilder().setKind(problem.kind.code).setDetail(problem.detail).build()
        reply(CallReply.newBuilder().setFailed(wire).build())
    }

    private fun reply(reply: CallReply) {
        observer.onNext(reply)
        observer.onCompleted()
    }
}
